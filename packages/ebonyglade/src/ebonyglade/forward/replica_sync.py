"""Synchronization of store replicas between members.

A member that can't reach the store goes on with other members' replicas. A received
replica counts as confirmed at the time of the request less the age that the sender
reports. The sender answered later than that, so the age is never underestimated.
"""

from dataclasses import dataclass, field

from ebonyglade.context import Context
from ebonyglade.forward.members import Member
from ebonyglade.forward.store_replica import StoreReplica
from ebonyglade.forward.types import StoreDocument
from ebonyglade.ports import Sender
from ebonyglade.wire.fleet import (
    FleetHeartbeat,
    ReplicaDocument,
    ReplicaRequest,
    ReplicaResponse,
    StoreState,
)

# Between two requests, so that a slow response is not requested twice.
REQUEST_INTERVAL_S = 0.3


@dataclass(slots=True)
class ReplicaSync:
    """Keeps the store replica as new as the newest one of any live member."""

    context: Context
    replica: StoreReplica
    _requested_at: dict[str, float] = field(default_factory=dict)

    def start(self) -> None:
        """Register the handlers of members' requests and responses."""
        self.context.handle(
            {ReplicaRequest: self._on_request, ReplicaResponse: self._on_response}
        )

    def store_state(self) -> StoreState:
        """Return the revision and age of this process' replica."""
        age = self.replica.age(self.context.clock())
        known = self.replica.as_of > 0 and age < float("inf")
        return StoreState(self.replica.as_of, age if known else -1.0)

    def on_heartbeat(self, member: Member, heartbeat: FleetHeartbeat) -> None:
        """Request the member's replica if it is newer, else confirm the own one.

        The own replica is confirmed as of the member's last confirmation. `echo` is a
        time of this process' clock, so that the clocks need not agree.
        """
        state = heartbeat.store
        if state.age_s < 0:
            return
        if state.as_of > self.replica.as_of:
            self._request(member)
        elif heartbeat.echo >= 0:
            # The own replica contains everything up to the member's revision, so
            # that the member's confirmation holds for it too.
            self.replica.confirm_current_at(heartbeat.echo - state.age_s)

    def _request(self, member: Member) -> None:
        now = self.context.clock()
        if (
            now - self._requested_at.get(member.address, float("-inf"))
            < REQUEST_INTERVAL_S
        ):
            return
        self._requested_at[member.address] = now
        self.context.send(member.address, ReplicaRequest(self.replica.as_of, now))

    def _on_request(self, sender: Sender, message: ReplicaRequest) -> None:
        replica = self.replica
        state = self.store_state()
        if state.age_s < 0:
            return
        response = ReplicaResponse(
            message.sent_at,
            state.as_of,
            state.age_s,
            [item.path for item in replica.documents()],
            [
                ReplicaDocument(item.path, item.value, item.revision)
                for item in replica.documents()
                if item.revision > message.after
            ],
        )
        self.context.transport.set_address(sender.instance, sender.address)
        self.context.send(sender.instance, response)

    def _on_response(self, sender: Sender, response: ReplicaResponse) -> None:
        replica = self.replica
        if response.as_of < replica.as_of:
            return
        changed = [
            StoreDocument(item.path, item.value, item.revision)
            for item in response.changed
        ]
        kept = set(response.paths)
        gone = [
            StoreDocument(item.path, None, response.as_of)
            for item in replica.documents()
            if item.path not in kept and item.revision <= response.as_of
        ]
        replica.apply([*changed, *gone], response.as_of)
        replica.confirm_current_at(response.sent_at - response.age_s)

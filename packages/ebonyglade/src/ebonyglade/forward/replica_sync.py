"""Synchronization of store replicas between members.

A member that can't reach the store goes on with other members' replicas. A received
replica counts as confirmed at the time of the request less the age that the sender
reports. The sender answered later than that, so the age is never underestimated.
"""

import logging
from dataclasses import dataclass, field

from ebonyglade.context import Context
from ebonyglade.forward.members import Member
from ebonyglade.forward.store_replica import RELIST_GRACE_S, StoreReplica
from ebonyglade.forward.types import NO_VERSION, StoreDocument, StoreVersion
from ebonyglade.ports import Sender
from ebonyglade.wire.fleet import (
    FleetHeartbeat,
    LeavingRecord,
    ReplicaDocument,
    ReplicaRequest,
    ReplicaResponse,
    StoreState,
    ZoneReport,
)

logger = logging.getLogger(__name__)

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
        """Return the version and age of this process' replica."""
        replica = self.replica
        now = self.context.clock()
        known = replica.as_of > NO_VERSION
        return StoreState(
            replica.as_of.revision,
            _known_age(replica.age(now)) if known else -1.0,
            replica.as_of.era,
            replica.configuration_version,
            _known_age(replica.read_age(now)),
            round(replica.relist_time_left(now), 3),
        )

    def leaving_records(self) -> list[LeavingRecord]:
        """Return the endpoints that told this process that they leave."""
        observed = self.replica.leaving.observed()
        return [
            LeavingRecord(name, version.era, version.revision)
            for name, version in observed.items()
        ]

    def on_heartbeat(self, member: Member, heartbeat: FleetHeartbeat) -> None:
        """Request the member's replica if it is newer, else confirm the own one.

        The own replica is confirmed as of the member's last confirmation. `echo` is a
        time of this process' clock, so that the clocks need not agree.
        """
        replica = self.replica
        self._mark_leaving(heartbeat.leaving)
        state = heartbeat.store
        self._record_outage_end(state.relist_s)
        if state.age_s < 0:
            return
        version = StoreVersion(state.era, state.as_of)
        if (
            version > replica.as_of
            or state.configuration > replica.configuration_version
        ):
            self._request(member)
        elif heartbeat.echo >= 0 and version.era == replica.as_of.era:
            # The own replica contains everything up to the member's revision, so
            # that the member's confirmation holds for it too. A member of an older
            # era confirms what the store has lost since.
            replica.confirm_current_at(heartbeat.echo - state.age_s)

    def on_zone_report(self, report: ZoneReport, at: float) -> None:
        """Record the endpoints that told members of another zone that they leave."""
        self._mark_leaving(report.leaving)

    def _mark_leaving(self, records: list[LeavingRecord]) -> None:
        for record in records:
            outdated = StoreVersion(record.era, record.revision)
            self.replica.mark_leaving(record.endpoint, outdated, observed=False)

    def _request(self, member: Member) -> None:
        now = self.context.clock()
        if (
            now - self._requested_at.get(member.address, float("-inf"))
            < REQUEST_INTERVAL_S
        ):
            return
        self._requested_at[member.address] = now
        self.context.count("replica_requests")
        replica = self.replica
        self.context.send(
            member.address,
            ReplicaRequest(
                replica.as_of.revision,
                now,
                replica.as_of.era,
                replica.configuration_version,
            ),
        )

    def _on_request(self, sender: Sender, message: ReplicaRequest) -> None:
        state = self.store_state()
        if state.age_s < 0:
            return
        after = StoreVersion(message.era, message.after)
        documents = list(self.replica.documents())
        response = ReplicaResponse(
            message.sent_at,
            state.as_of,
            state.age_s,
            [item.path for item in documents],
            [
                ReplicaDocument(item.path, item.value, item.version.revision)
                for item in documents
                if item.version > after or self._has_newer_configuration(item, message)
            ],
            state.era,
            state.relist_s,
        )
        self.context.transport.set_address(sender.instance, sender.address)
        self.context.send(sender.instance, response)

    def _has_newer_configuration(
        self, item: StoreDocument, message: ReplicaRequest
    ) -> bool:
        replica = self.replica
        return (
            item.path == replica.adapter.CONFIGURATION
            and replica.configuration_version > message.configuration
        )

    def _on_response(self, sender: Sender, response: ReplicaResponse) -> None:
        replica = self.replica
        as_of = StoreVersion(response.era, response.as_of)
        self._record_response(sender, response, as_of)
        changed = [
            StoreDocument(
                item.path, item.value, StoreVersion(response.era, item.revision)
            )
            for item in response.changed
        ]
        for item in changed:
            if item.path == replica.adapter.CONFIGURATION:
                replica.adopt_configuration(item)
        if as_of < replica.as_of:
            return
        self._record_outage_end(response.relist_s)
        unchanged = set(response.paths) - {item.path for item in changed}
        kept = [item for item in replica.documents() if item.path in unchanged]
        if replica.replace([*changed, *kept], as_of):
            replica.confirm_current_at(response.sent_at - response.age_s)

    def _record_response(
        self, sender: Sender, response: ReplicaResponse, as_of: StoreVersion
    ) -> None:
        """Log and count what a member's response brought, and whether it was needed."""
        received = sum(len(item.value) for item in response.changed)
        needed = as_of > self.replica.as_of
        self.context.count("replica_bytes", received)
        if not needed:
            self.context.count("replica_bytes_outdated", received)
        logger.info(
            "replica received",
            extra={
                "member": sender.address,
                "bytes": received,
                "documents": len(response.changed),
                "seconds": round(self.context.clock() - response.sent_at, 3),
                "era": as_of.era,
                "revision": as_of.revision,
                "known_revision": self.replica.as_of.revision,
                "needed": needed,
            },
        )

    def _record_outage_end(self, relist_s: float) -> None:
        """Record the end of an outage that another member has seen."""
        if relist_s > 0:
            now = self.context.clock()
            self.replica.record_outage_end(now - RELIST_GRACE_S + relist_s)


def _known_age(age: float) -> float:
    """Return an age as it is stated to others; negative if it is infinite."""
    return age if age < float("inf") else -1.0

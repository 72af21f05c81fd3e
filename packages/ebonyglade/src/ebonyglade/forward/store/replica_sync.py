"""Synchronization of store replicas between members.

A member that can't reach the store goes on with other members' replicas. A received
replica counts as confirmed at the time of the request less the age that the sender
reports. The sender answered later than that, so the age is never underestimated.
"""

from dataclasses import dataclass, field

from ebonyglade.context import Context
from ebonyglade.forward.members import Member
from ebonyglade.forward.store.document_parts import DocumentPacker
from ebonyglade.forward.store.replica_transfer import ReplicaTransfer
from ebonyglade.forward.store.store_replica import RELIST_GRACE_S, StoreReplica
from ebonyglade.forward.types import NO_VERSION, StoreDocument, StoreVersion
from ebonyglade.ports import Sender
from ebonyglade.wire.base import Message
from ebonyglade.wire.fleet import (
    FleetHeartbeat,
    LeavingRecord,
    StoreState,
    ZoneReport,
)
from ebonyglade.wire.replica import (
    DocumentPartRequest,
    ReplicaDocument,
    ReplicaRequest,
    ReplicaResponse,
)

# A newer configuration that no member has stated for this time is not waited for: the
# only member that had it may have ended, and the store may have lost it.
NEWER_TTL_S = 2.0


@dataclass(slots=True)
class ReplicaSync:
    """Keeps the store replica as new as the newest one of any live member.

    Attributes:
        context: transport, clock and timers.
        replica: replica of this process.
        transfer: gets newer replicas from other members.
    """

    context: Context
    replica: StoreReplica
    transfer: ReplicaTransfer = field(init=False)
    _packer: DocumentPacker = field(default_factory=DocumentPacker)
    _newer_since: dict[int, float] = field(default_factory=dict)
    _newer_heard_at: float = float("-inf")
    _started_at: float = field(init=False)

    def __post_init__(self) -> None:
        self.transfer = ReplicaTransfer(self.context, self.replica, self._apply)
        self._started_at = self.context.clock()

    def start(self) -> None:
        """Register handlers and timers."""
        self.transfer.start()
        self.context.handle(
            {
                ReplicaRequest: self._on_request,
                DocumentPartRequest: self._on_part_request,
            }
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

    def outdated_for(self, now: float) -> float:
        """Return for how long other members have had a newer configuration.

        Returns:
            Seconds; zero if no member that is heard has a newer one.
        """
        if not self._newer_since:
            return 0.0
        own = self.replica.configuration_version
        heard = now - self._newer_heard_at < NEWER_TTL_S
        self._newer_since = {
            version: at
            for version, at in self._newer_since.items()
            if heard and version > own
        }
        return now - min(self._newer_since.values(), default=now)

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
        newer = state.configuration > replica.configuration_version
        if newer:
            self._newer_heard_at = self.context.clock()
            self._newer_since.setdefault(state.configuration, self._newer_heard_at)
        if newer or version > replica.as_of:
            self.transfer.offer(member)
            return
        self.transfer.withdraw(member)
        if self._is_own(heartbeat.echo) and version.era == replica.as_of.era:
            # The own replica contains everything up to the member's revision, so
            # that the member's confirmation holds for it too. A member of an older
            # era confirms what the store has lost since.
            replica.confirm_current_at(heartbeat.echo - state.age_s)

    def _is_own(self, echo: float) -> bool:
        """Return whether this process sent the heartbeat that a member echoes.

        One that was sent before its start is of another process, whose clock may have
        been another one, too.
        """
        return self._started_at <= echo <= self.context.clock()

    def on_zone_report(self, report: ZoneReport, at: float) -> None:
        """Record the endpoints that told members of another zone that they leave."""
        self._mark_leaving(report.leaving)

    def _mark_leaving(self, records: list[LeavingRecord]) -> None:
        for record in records:
            outdated = StoreVersion(record.era, record.revision)
            self.replica.mark_leaving(record.endpoint, outdated, observed=False)

    def _on_request(self, sender: Sender, message: ReplicaRequest) -> None:
        state = self.store_state()
        if state.age_s < 0:
            return
        self._packer.retain({item.path for item in self.replica.documents()})
        after = StoreVersion(message.era, message.after)
        documents = list(self.replica.documents())
        response = ReplicaResponse(
            message.sent_at,
            state.as_of,
            state.age_s,
            [item.path for item in documents],
            [
                self._packer.describe(item, message.parts)
                for item in documents
                if item.version > after or self._has_newer_configuration(item, message)
            ],
            state.era,
            state.relist_s,
        )
        self._answer(sender, response)

    def _on_part_request(self, sender: Sender, message: DocumentPartRequest) -> None:
        item = self.replica.document(message.path)
        self._answer(sender, self._packer.part(item, message))

    def _answer(self, sender: Sender, message: Message) -> None:
        self.context.transport.set_address(sender.instance, sender.address)
        self.context.send(sender.instance, message)

    def _has_newer_configuration(
        self, item: StoreDocument, message: ReplicaRequest
    ) -> bool:
        replica = self.replica
        return (
            item.path == replica.adapter.CONFIGURATION
            and replica.configuration_version > message.configuration
        )

    def _apply(
        self, response: ReplicaResponse, documents: list[ReplicaDocument]
    ) -> None:
        """Apply another member's replica."""
        replica = self.replica
        as_of = StoreVersion(response.era, response.as_of)
        changed = [
            StoreDocument(
                item.path, item.value, StoreVersion(response.era, item.revision)
            )
            for item in documents
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

    def _record_outage_end(self, relist_s: float) -> None:
        """Record the end of an outage that another member has seen."""
        if relist_s > 0:
            now = self.context.clock()
            self.replica.record_outage_end(now - RELIST_GRACE_S + relist_s)


def _known_age(age: float) -> float:
    """Return an age as it is stated to others; negative if it is infinite."""
    return age if age < float("inf") else -1.0

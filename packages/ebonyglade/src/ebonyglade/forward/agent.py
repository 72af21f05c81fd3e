"""Decisions of the agent beside a model endpoint that entries call directly.

Only this agent sends stage orders to its endpoint. It also tells entries how much
memory is free there and grants them memory.
"""

import logging
from dataclasses import dataclass

from ebonyglade.audit import AuditTrail
from ebonyglade.context import Context
from ebonyglade.forward.adapter import Adapter
from ebonyglade.forward.balancing.load_exchange import LoadExchange
from ebonyglade.forward.endpoint_limits.cold_endpoints import (
    DEFAULT_COLD_BOUNDS,
    ColdBounds,
    ColdEndpoints,
)
from ebonyglade.forward.endpoint_limits.endpoint_limits import EndpointLimits
from ebonyglade.forward.endpoint_limits.limit_exchange import LimitExchange
from ebonyglade.forward.evidence_exchange import EvidenceExchange
from ebonyglade.forward.members import FleetMembers, Member
from ebonyglade.forward.memory.grant_queue import Claim, Rank
from ebonyglade.forward.memory.memory_admission import MemoryAdmission, PrefillLease
from ebonyglade.forward.origins.origin_exchange import OriginExchange
from ebonyglade.forward.stage_planning import (
    TO_DECODE_DELAY_S,
    TO_PREFILL_DELAY_S,
    StageChange,
    next_stage_change,
)
from ebonyglade.forward.store.replica_sync import ReplicaSync
from ebonyglade.forward.store.store_replica import REFRESH_INTERVAL_S, StoreReplica
from ebonyglade.forward.types import (
    Endpoint,
    EngineReport,
    ResponseMetadata,
    Stage,
    StoreVersion,
)
from ebonyglade.forward.zone_exchange import ZoneExchange
from ebonyglade.ports import Sender
from ebonyglade.quarantine.evidence import CrashEvidence
from ebonyglade.wire.fleet import (
    EngineState,
    FleetHeartbeat,
    GrantResponse,
    MemoryRelease,
    MemoryRequest,
    PrefillLeaseRelease,
    PrefillLeaseRequest,
    RefusalNotice,
    TokensAdmitted,
    ZoneReport,
)

logger = logging.getLogger(__name__)

# Orders are given only if the replica was confirmed within this time.
MAX_REPLICA_AGE_S = 2.5
CHANGE_EXPIRY_S = 1.5  # a stage change that another agent reported counts this long
FORGET_INTERVAL_S = 1.0  # between two removals of crash evidence that has expired
MAX_REPORT_AGE_S = 1.0  # memory is granted only on a report that is younger
# Revisions of one era stay below this power of two. An era and a revision together
# are still exact for peers that decode numbers as doubles.
FENCE_REVISION_BITS = 40
CHANGE_DELAY_S = {Stage.DECODE: TO_DECODE_DELAY_S, Stage.PREFILL: TO_PREFILL_DELAY_S}


@dataclass(frozen=True, slots=True)
class StageOrder:
    """An order to the endpoint beside this agent to change its stage.

    Attributes:
        stage: new stage.
        fencing_token: see `fencing_token`.
        accepted_orders: number of orders that the endpoint has accepted so far.
    """

    stage: Stage
    fencing_token: int
    accepted_orders: int


def fencing_token(version: StoreVersion) -> int:
    """Return a fencing token that never decreases, not even over restarts.

    The store's version never decreases and is read again after a restart of this
    process. Revisions alone go back when the store comes back from an older copy.
    """
    return version.era << FENCE_REVISION_BITS | version.revision


class ForwardAgent:
    """Decides the stage of the endpoint beside an agent and grants its memory."""

    def __init__(
        self,
        context: Context,
        adapter: Adapter,
        address: str,
        seeds: tuple[str, ...],
        audit: AuditTrail,
        capacity: float = 0.0,
        cold: ColdBounds = DEFAULT_COLD_BOUNDS,
    ) -> None:
        """Create the agent.

        Args:
            context: transport, clock and timers.
            adapter: decodes the platform's documents.
            address: "IP:port" of the endpoint.
            seeds: addresses of members to contact first.
            audit: trail of changes of the store replica.
            capacity: rate of the network link in Mbit/s; 0 if not known.
            cold: bound on requests to a cold endpoint.
        """
        self.context = context
        self.replica = StoreReplica(adapter, context.clock, audit)
        self.replica_sync = ReplicaSync(context, self.replica)
        self.members = FleetMembers(context, seeds, self._compose_heartbeat, capacity)
        self.crashes = CrashEvidence()
        self.evidence_exchange = EvidenceExchange(
            self.crashes, context.identity.instance
        )
        self.zones = ZoneExchange(
            context,
            self.members,
            False,
            self.replica_sync.leaving_records,
            self.evidence_exchange,
        )
        self.endpoint_limits = EndpointLimits(
            ColdEndpoints(
                context.clock,
                self.replica.service,
                cold,
                self.replica.evacuation_ended_at,
            )
        )
        self.limit_exchange = LimitExchange(
            context,
            self.members,
            self.zones,
            self.endpoint_limits,
            self.replica,
        )
        self.load_exchange = LoadExchange(context, self.members, self.zones)
        self.origin_exchange = OriginExchange(context, self.members, self.replica)
        self._address = address
        self._report: EngineReport | None = None
        self._reported_at = 0.0
        self._planned: StageChange | None = None
        self._planned_since = 0.0
        self._last_changing: dict[str, float] = {}
        self._memory = MemoryAdmission()
        self._prefill_lease = PrefillLease()
        self._entry_incarnations: dict[str, str] = {}

    def start(self) -> None:
        """Register handlers and join the fleet."""
        self.replica_sync.start()
        self.limit_exchange.start()
        self.load_exchange.start()
        self.origin_exchange.start()
        self.members.heartbeat_listeners += [
            self.replica_sync.on_heartbeat,
            self._on_heartbeat,
        ]
        self.zones.listeners += [
            self.replica_sync.on_zone_report,
            self._on_zone_report,
        ]
        self.zones.start()
        self.members.start()
        self.context.every(REFRESH_INTERVAL_S, self.replica.refresh_endpoints)
        self.context.every(FORGET_INTERVAL_S, self.crashes.forget)
        self.context.handle(
            {
                TokensAdmitted: self._on_tokens_admitted,
                RefusalNotice: self._on_refused,
                MemoryRequest: self._on_memory_request,
                MemoryRelease: self._on_memory_release,
                PrefillLeaseRequest: self._on_lease_request,
                PrefillLeaseRelease: self._on_lease_release,
            }
        )

    @property
    def endpoint(self) -> Endpoint | None:
        """The endpoint beside this agent, as the store lists it."""
        listed = self.replica.registry.endpoints.values()
        return next((item for item in listed if item.address == self._address), None)

    def on_report(self, report: EngineReport) -> StageOrder | None:
        """Process the endpoint's report; return the order to send now, if any."""
        now = self.context.clock()
        if self._report is not None and report.born_ms != self._report.born_ms:
            self._memory.clear()
        self._report, self._reported_at = report, now
        self._memory.update_from_report(
            report.runs, report.memory_used, report.memory_total, now, report.held
        )
        self._grant_waiting(now)
        own = self.endpoint
        if own is None or own.leaving or self.replica.age(now) > MAX_REPLICA_AGE_S:
            return None
        evacuated = self.replica.evacuations.zones
        if own.zone in evacuated:
            self._planned = None
            return None
        serving = [
            item
            for item in self.replica.registry.accepting(own.service)
            if item.zone not in evacuated
        ]
        planned = next_stage_change(serving, self._changing_endpoints(now))
        if planned != self._planned:
            self._planned, self._planned_since = planned, now
        if planned is None or planned.endpoint != own.id or report.busy:
            return None
        if report.born_ms != own.born_ms:
            # The store does not list yet the process that runs there now.
            return None
        if report.stage is planned.stage:
            return None
        if now - self._planned_since < CHANGE_DELAY_S[planned.stage]:
            return None
        return StageOrder(
            planned.stage, fencing_token(self.replica.as_of), report.orders
        )

    def on_leaving(self) -> None:
        """Record that the endpoint beside this agent states that it leaves."""
        if self.endpoint is not None:
            self.replica.mark_leaving(self.endpoint.id)

    def on_cold_time(self, metadata: ResponseMetadata, sent_at: float) -> None:
        """Record for how long the endpoint beside this agent states that it is cold.

        Args:
            metadata: metadata of its response.
            sent_at: when the request was sent.
        """
        if self.endpoint is not None:
            self.endpoint_limits.observe_cold(
                self.endpoint.incarnation, metadata, sent_at
            )

    def _on_heartbeat(self, member: Member, heartbeat: FleetHeartbeat) -> None:
        """Record whether a member's endpoint is changing its stage."""
        if heartbeat.engine is not None:
            self._record_engine(heartbeat.engine, self.context.clock())

    def _on_zone_report(self, report: ZoneReport, at: float) -> None:
        for record in report.engines:
            self._record_engine(record.state, at)

    def _record_engine(self, state: EngineState, at: float) -> None:
        if state.changing:
            self._last_changing[state.endpoint] = at
        else:
            self._last_changing.pop(state.endpoint, None)

    def _on_tokens_admitted(self, sender: Sender, message: TokensAdmitted) -> None:
        self.zones.record_admitted(sender.instance, sender.incarnation, message)

    def _on_refused(self, sender: Sender, message: RefusalNotice) -> None:
        self.zones.pass_on(message)

    def _changing_endpoints(self, now: float) -> set[str]:
        """Return the ids of the endpoints that are changing their stage."""
        expired = [
            name
            for name, at in self._last_changing.items()
            if now - at > CHANGE_EXPIRY_S
        ]
        for name in expired:
            del self._last_changing[name]
        return set(self._last_changing)

    def _compose_heartbeat(self, complete: bool) -> FleetHeartbeat:
        now = self.context.clock()
        heartbeat = FleetHeartbeat(
            sent_at=now,
            zone=self.context.identity.zone,
            store=self.replica_sync.store_state(),
            leaving=self.replica_sync.leaving_records(),
            engine=self._engine_state(now),
            evidence=self.evidence_exchange.compose(
                now, complete and self.evidence_exchange.repeats_at(now)
            ),
            capacity=self.members.capacity,
            zoned=True,
            limits=self.limit_exchange.records() if complete else [],
            permits=True,
            origins=True,
        )
        self.zones.record_own(heartbeat)
        return heartbeat

    def _engine_state(self, now: float) -> EngineState | None:
        report, own = self._report, self.endpoint
        if report is None or own is None:
            return None
        age = round(now - self._reported_at, 3)
        return EngineState(
            own.id,
            self._memory.free_tokens(),
            report.running,
            report.waiting,
            age,
            # The store lists the new stage once the change is complete; a report of
            # another stage is then outdated.
            report.busy and report.stage is own.stage,
            report.born_ms,
            self._memory.waiting_requests(),
        )

    def _on_memory_request(self, sender: Sender, message: MemoryRequest) -> None:
        now = self.context.clock()
        own = self.endpoint
        known = self._entry_incarnations.get(sender.instance, sender.incarnation)
        self._entry_incarnations[sender.instance] = sender.incarnation
        if known != sender.incarnation:
            self._memory.forget_entry(sender.instance, now)
        response = GrantResponse(message.ask, False)
        if self._can_grant(own, message.endpoint, now):
            self._memory.slots = own.slots
            response = self._grant_or_queue(sender, message, now)
        self.context.count("rooms_granted" if response.granted else "rooms_refused")
        self._respond(sender, response)

    def _grant_or_queue(
        self, sender: Sender, message: MemoryRequest, now: float
    ) -> GrantResponse:
        claim = Claim(
            message.workspace,
            message.weight,
            message.queue,
            sender.instance,
            message.ask,
        )
        rank = Rank(message.priority, message.late, -message.waited_s)
        granted = self._memory.try_grant(
            message.request,
            message.prompt_tokens,
            message.answer_tokens,
            rank,
            now,
            claim,
        )
        if granted or not self._memory.is_waiting(message.request):
            return GrantResponse(message.ask, granted)
        wait_s = round(self._memory.wait_s(message.request, now), 3)
        return GrantResponse(message.ask, False, message.queue, wait_s)

    def _grant_waiting(self, now: float) -> None:
        """Grant free memory to queued requests in their order."""
        own = self.endpoint
        if own is None or not self._can_grant(own, own.id, now):
            return
        self._memory.slots = own.slots
        while (waiting := self._memory.grant_next(now)) is not None:
            self.context.count("rooms_granted_later")
            response = GrantResponse(waiting.claim.ask, True)
            if not self.context.send(waiting.claim.entry, response):
                self._memory.release(waiting.request, now, unused=True)

    def _respond(self, sender: Sender, response: GrantResponse) -> None:
        self.context.transport.set_address(sender.instance, sender.address)
        self.context.send(sender.instance, response)

    def _on_lease_request(self, sender: Sender, message: PrefillLeaseRequest) -> None:
        granted = self._prefill_lease.acquire(message.request, self.context.clock())
        self._respond(sender, GrantResponse(message.ask, granted))

    def _on_lease_release(self, sender: Sender, message: PrefillLeaseRelease) -> None:
        self._prefill_lease.release(message.request, self.context.clock())

    def _can_grant(self, own: Endpoint | None, endpoint_id: str, now: float) -> bool:
        report = self._report
        return (
            own is not None
            and own.id == endpoint_id
            and not own.leaving
            and own.zone not in self.replica.evacuations.zones
            and report is not None
            and report.stage is Stage.DECODE
            and not report.busy
            and now - self._reported_at < MAX_REPORT_AGE_S
        )

    def _on_memory_release(self, sender: Sender, message: MemoryRelease) -> None:
        now = self.context.clock()
        self._memory.release(message.request, now, message.unused)
        if message.rejected:
            self._memory.record_rejection(now)
            self.context.count("grants_rejected")
        self._grant_waiting(now)

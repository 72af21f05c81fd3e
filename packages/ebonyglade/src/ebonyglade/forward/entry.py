"""Admission and dispatch of forwarded requests at an entry, without I/O."""

import asyncio
import copy
import logging
import random
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from functools import partial

from result import Err

from ebonyglade.audit import AuditTrail
from ebonyglade.bodies import DEFAULT_LIMITS, BodyLimits
from ebonyglade.buffers import BufferBudget
from ebonyglade.context import Context
from ebonyglade.forward.adapter import Adapter
from ebonyglade.forward.attempts import AttemptSender
from ebonyglade.forward.balancing.endpoint_loads import EndpointLoads
from ebonyglade.forward.balancing.load_exchange import LoadExchange
from ebonyglade.forward.call import EndpointPort, ForwardCall, Reply
from ebonyglade.forward.endpoint_limits.cold_endpoints import (
    DEFAULT_COLD_BOUNDS,
    ColdBounds,
    ColdEndpoints,
)
from ebonyglade.forward.endpoint_limits.endpoint_limits import EndpointLimits
from ebonyglade.forward.endpoint_limits.limit_exchange import LimitExchange
from ebonyglade.forward.evidence_exchange import EvidenceExchange
from ebonyglade.forward.explanation.explanation import Explanation, explain
from ebonyglade.forward.first_attempts import FirstAttempts
from ebonyglade.forward.generation import GenerationDispatcher
from ebonyglade.forward.members import FleetMembers, Member
from ebonyglade.forward.memory.agent_client import AgentClient
from ebonyglade.forward.origins.origin_exchange import OriginExchange
from ebonyglade.forward.origins.resumed_streams import ResumedStreams
from ebonyglade.forward.plain import PlainDispatcher
from ebonyglade.forward.presence.agent_contacts import AgentContacts
from ebonyglade.forward.presence.other_entries import OtherEntries
from ebonyglade.forward.rates.fleet_rates import FleetRates
from ebonyglade.forward.rates.rate_exchange import RateExchange
from ebonyglade.forward.rates.tolerance import RateTolerance
from ebonyglade.forward.retries.fleet_retries import FleetRetries
from ebonyglade.forward.retries.known_entries import KnownEntries
from ebonyglade.forward.retries.retry_budget import OwnRetries, RetryBudgetLimits
from ebonyglade.forward.retries.slack import RetrySlack
from ebonyglade.forward.retries.slack_exchange import SlackExchange
from ebonyglade.forward.store import routing_table as routing_tables
from ebonyglade.forward.store.replica_sync import ReplicaSync
from ebonyglade.forward.store.start_check import StartCheck
from ebonyglade.forward.store.store_replica import (
    REFRESH_INTERVAL_S,
    StoreReplica,
    log_store_change,
)
from ebonyglade.forward.types import Load, Stage, Workspace, incarnation
from ebonyglade.forward.zone_exchange import ZoneExchange
from ebonyglade.forward.zone_reports import RECENT_TOTALS_S
from ebonyglade.ports import Sender
from ebonyglade.quarantine.evidence import CrashEvidence, fingerprint, part_key
from ebonyglade.verdict import Refusal, Verdict, refuse
from ebonyglade.wire.fleet import (
    EngineState,
    FleetHeartbeat,
    RefusalNotice,
    ZoneReport,
)

logger = logging.getLogger(__name__)

DEFAULT_DEADLINE_S = 30.0  # for callers that send no deadline
CLEANUP_INTERVAL_S = 1.0
MAX_RATE_WAIT_S = 0.3  # longest wait for tokens of the workspace's rate limit
WAIT_SPREAD_S = 0.1  # far above the time in which entries hear of each other

NextHandler = Callable[[ForwardCall], Awaitable[Reply]]
AdmissionStep = Callable[[ForwardCall], Refusal | None]


@dataclass(frozen=True, slots=True)
class ForwardLimits:
    """Limits that the platform publishes to its processes.

    Attributes:
        max_key_age_s: age of the configuration above which its keys are no longer
            accepted; None if they are accepted at any age.
        budget: limits of the retry budget.
        rates: allowance above the workspaces' rates and bursts.
        capacity: rate of this machine's network link in Mbit/s; 0 if not known.
        max_outdated_s: time for which requests are admitted by a configuration while
            a newer one is known to be in force at another member.
        bodies: limits of endpoints' answers.
        cold: bound on requests to a cold endpoint.
    """

    max_key_age_s: float | None
    budget: RetryBudgetLimits
    rates: RateTolerance
    capacity: float = 0.0
    max_outdated_s: float = float("inf")
    bodies: BodyLimits = DEFAULT_LIMITS
    cold: ColdBounds = DEFAULT_COLD_BOUNDS


class ForwardEntry:
    """Admits callers' requests and dispatches them to endpoints."""

    def __init__(
        self,
        context: Context,
        adapter: Adapter,
        port: EndpointPort,
        limits: ForwardLimits,
        seeds: tuple[str, ...],
        regions: Mapping[str, str] | None = None,
    ) -> None:
        """Create the entry.

        Args:
            context: transport, clock and timers.
            adapter: names, formats and calls of the platform.
            port: sends requests and calls to endpoints.
            limits: limits that the platform publishes.
            seeds: addresses of members to contact first.
            regions: region of each availability zone, as far as known.
        """
        self.context = context
        self.limits = limits
        self.audit = AuditTrail(context.wall_clock, listener=log_store_change)
        self.replica = StoreReplica(adapter, context.clock, self.audit)
        self.replica_sync = ReplicaSync(context, self.replica)
        alone = not set(seeds) - {context.identity.instance}
        self._start_check = StartCheck(context.clock(), alone)
        self.crashes = CrashEvidence()
        self.evidence_exchange = EvidenceExchange(
            self.crashes, context.identity.instance
        )
        self.first_attempts = FirstAttempts()
        self.loads = EndpointLoads()
        self.buffers = BufferBudget(limits.bodies.buffered_bytes, context.clock)
        self.members = FleetMembers(
            context, seeds, self._compose_heartbeat, limits.capacity
        )
        self.other_entries = OtherEntries(
            context, self.members, AgentContacts(self.members, self.replica)
        )
        now = context.clock()
        self.rates = FleetRates(
            limits.rates,
            now,
            self._workspace,
            joined_at=now if self.other_entries.known else None,
        )
        self.known_entries = KnownEntries(
            context.clock, lambda: self.other_entries.is_only_one
        )
        self.slack_exchange = SlackExchange(
            context,
            self.members,
            self.other_entries,
            self.known_entries,
            RetrySlack(limits.budget, limits.rates.first_start),
        )
        self.zones = ZoneExchange(
            context,
            self.members,
            True,
            self.replica_sync.leaving_records,
            self.evidence_exchange,
        )
        self.endpoint_limits = EndpointLimits(
            ColdEndpoints(
                context.clock,
                self.replica.service,
                limits.cold,
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
        self.load_exchange = LoadExchange(context, self.members, self.zones, self.loads)
        self.rate_exchange = RateExchange(
            context, self.members, self.rates, self.zones, self.other_entries
        )
        self.attempts = AttemptSender(
            adapter=adapter,
            port=port,
            replica=self.replica,
            loads=self.loads,
            retries=FleetRetries(
                OwnRetries(limits.budget),
                self.slack_exchange.take,
                self.slack_exchange.give_back,
                lambda: self.known_entries.number,
                context.clock,
            ),
            crashes=self.crashes,
            clock=context.clock,
            rng=context.rng,
            zone=context.identity.zone,
            count=context.count,
            limits=limits.bodies,
            endpoint_limits=self.endpoint_limits,
            permits=self.limit_exchange.acquire,
            regions=regions or {},
            max_key_age_s=limits.max_key_age_s,
        )
        self.origin_exchange = OriginExchange(context, self.members, self.replica)
        self.resumed_streams = ResumedStreams(self.replica, self.origin_exchange)
        self.plain_dispatcher = PlainDispatcher(self.attempts)
        self.agent_client = AgentClient(context)
        self.generation_dispatcher = GenerationDispatcher(
            self.attempts, self.agent_client, self.resumed_streams.record_begun
        )
        # The steps run in this order; the first refusal ends the request.
        # `_take_tokens` must be the last one, since `_admit_with_wait` repeats only it.
        self._head_steps: tuple[AdmissionStep, ...] = (
            self._check_configuration,
            self._find_route,
            self._authenticate,
        )
        self._admission_steps = (
            *self._head_steps,
            self._choose_service,
            self._check_crashes,
            self._take_tokens,
        )

    def start(self) -> None:
        """Register handlers and timers, and join the fleet."""
        self.replica_sync.start()
        self.agent_client.start()
        self.other_entries.start()
        self.rate_exchange.start()
        self.slack_exchange.start()
        self.limit_exchange.start()
        self.load_exchange.start()
        self.origin_exchange.start()
        self.members.heartbeat_listeners += [
            self.replica_sync.on_heartbeat,
            self.agent_client.on_heartbeat,
            self._on_heartbeat,
        ]
        self.zones.listeners += [
            self.replica_sync.on_zone_report,
            self.agent_client.on_zone_report,
            self.other_entries.on_zone_report,
            self._on_zone_report,
        ]
        self.zones.start()
        self.members.start()
        self.context.handle({RefusalNotice: self._on_refused})
        self.context.every(CLEANUP_INTERVAL_S, self._clean_up)
        self.context.every(REFRESH_INTERVAL_S, self.replica.refresh_endpoints)

    @property
    def ready(self) -> bool:
        """Whether a configuration is known that is new enough to admit requests."""
        return (
            self.replica.table is not None
            and not self.attempts.gate.keys_too_old()
            and not self._is_outdated()
            and not self._start_check.is_open(self.context.clock())
        )

    async def run(self, call: ForwardCall) -> Reply:
        """Admit a request, send it, and return its response or a refusal."""
        refusal = await self._admit_with_wait(call)
        if refusal is None:
            refusal = await self.resumed_streams.bind(call)
        if refusal is not None:
            self._refund(call)
            self._log_refusal(call, refusal)
            return Err(refusal)
        call.may_send = partial(self.attempts.gate.permits, call)
        is_model_request = (
            call.service.engine is not None and call.metadata.prompt is not None
        )
        dispatcher = (
            self.generation_dispatcher if is_model_request else self.plain_dispatcher
        )
        try:
            reply = await dispatcher.run(call)
        finally:
            self.attempts.return_retries(call)
        if isinstance(reply, Err) and call.verdict is Verdict.NOT_RUN:
            self._refund(call)
            if is_model_request:
                self._announce_refusal(call)
        return reply

    def _log_refusal(self, call: ForwardCall, refusal: Refusal) -> None:
        now = self.context.clock()
        table = self.replica.table
        logger.info(
            "request refused",
            extra={
                "request": call.id,
                "code": refusal.code,
                "route": call.route.name if call.route else "",
                "workspace": call.workspace_name,
                "cost": _cost(call, call.workspace) if call.workspace else 0.0,
                "tokens_left": self.rates.level(call.workspace_name),
                "tokens_added": self.rates.joined_at is not None,
                "retry_after": refusal.retry_after,
                "configuration": table.version if table else 0,
                **self.replica.log_fields(now),
            },
        )

    async def _admit_with_wait(self, call: ForwardCall) -> Refusal | None:
        """Admit a request.

        A request that lacks rate tokens waits for them if they become available
        within `MAX_RATE_WAIT_S` of its arrival.
        """
        until = call.arrived_at + MAX_RATE_WAIT_S
        refusal = self.admit(call)
        while refusal is not None and refusal.code == "rate_exceeded":
            now = self.context.clock()
            if now + refusal.retry_after > until:
                break
            # Entries that wait for the same tokens must not take them all at once.
            spread_s = self.context.rng.random() * WAIT_SPREAD_S
            await asyncio.sleep(refusal.retry_after + spread_s)
            refusal = self._take_tokens(call)
        return refusal

    def admit(self, call: ForwardCall) -> Refusal | None:
        """Run the admission steps, which fill in the call.

        Returns:
            The refusal, or None if the request is admitted.
        """
        return _first_refusal(self._admission_steps, call)

    def check_head(self, call: ForwardCall) -> Refusal | None:
        """Return the refusal that a request's head alone decides, if any.

        Admission asks again when the request is whole, as the configuration may change
        meanwhile.
        """
        return _first_refusal(self._head_steps, call)

    def explain(self, call: ForwardCall, workspace: str) -> Explanation:
        """Explain where a request would be sent now; nothing is sent or recorded.

        Args:
            call: the request, with neither route nor service.
            workspace: name of its workspace; "" for none.
        """
        rng = copy.deepcopy(self.context.rng)
        refusal = (
            self._check_configuration(call)
            or self._find_route(call)
            or self._find_workspace(call, workspace)
            or self._pick_service(call, rng)
        )
        return explain(call, self.attempts, rng, refusal)

    def _find_workspace(self, call: ForwardCall, name: str) -> Refusal | None:
        """Set the workspace by its name, as `_authenticate` does by a key."""
        if call.route.open or not self.replica.table.requires_keys:
            return None
        if self.attempts.gate.keys_too_old():
            return refuse("configuration_old")
        call.workspace = self._workspace(name)
        if call.workspace is None:
            return refuse("key_unknown" if name else "key_missing")
        return None

    def _is_outdated(self) -> bool:
        outdated_s = self.replica_sync.outdated_for(self.context.clock())
        return outdated_s > self.limits.max_outdated_s

    def _check_configuration(self, call: ForwardCall) -> Refusal | None:
        """Refuse while no configuration is known, or only one that was replaced.

        Another entry may have the newer one, so that the caller can succeed there.
        """
        if self.replica.table is None or self._start_check.is_open(
            self.context.clock()
        ):
            return refuse("starting")
        return refuse("configuration_old") if self._is_outdated() else None

    def _find_route(self, call: ForwardCall) -> Refusal | None:
        path = call.target.partition("?")[0]
        call.route = self.replica.table.route(call.host, path)
        if call.route is None:
            # A stale replica may lack a route that was added since, so that the
            # route must not be reported as unknown.
            return refuse(
                "configuration_old"
                if self.attempts.gate.keys_too_old()
                else "route_unknown"
            )
        wait_s = call.metadata.deadline_s
        wait_s = DEFAULT_DEADLINE_S if wait_s is None else wait_s
        call.deadline = call.arrived_at + min(wait_s, call.route.timeout_s)
        return None

    def _authenticate(self, call: ForwardCall) -> Refusal | None:
        table = self.replica.table
        if call.route.open or not table.requires_keys:
            return None
        if self.attempts.gate.keys_too_old():
            return refuse("configuration_old")
        call.workspace = table.workspaces_by_key.get(call.metadata.key)
        if call.workspace is None:
            return refuse("key_unknown" if call.metadata.key else "key_missing")
        return None

    def _choose_service(self, call: ForwardCall) -> Refusal | None:
        refusal = self._pick_service(call, self.context.rng)
        if refusal is None:
            self.attempts.retries.record_request(call.service.name)
        return refusal

    def _pick_service(self, call: ForwardCall, rng: random.Random) -> Refusal | None:
        name = routing_tables.pick_service(call.route.shares, rng.random())
        call.service = self.replica.table.services.get(name)
        return refuse("no_endpoint") if call.service is None else None

    def _check_crashes(self, call: ForwardCall) -> Refusal | None:
        """Refuse a request that crashes endpoints.

        Also sets the request's fingerprint, the keys of its prompt's parts and the time
        of its first attempt, which later steps need.
        """
        call.fingerprint = fingerprint(
            call.workspace_name, call.method, call.target, call.body
        )
        call.shared_parts = _shared_parts(call)
        refusal = self.attempts.gate.refusal(call)
        if refusal is not None:
            return refusal
        call.first_attempt_at = self.first_attempts.first_attempt_at(
            call.fingerprint, call.arrived_at
        )
        return None

    def _take_tokens(self, call: ForwardCall) -> Refusal | None:
        workspace = call.workspace
        if workspace is None:
            return None
        call.cost = _cost(call, workspace)
        wait = self.rates.take(workspace, call.cost, self.context.clock())
        if wait <= 0:
            self.rate_exchange.announce_spending(workspace, call.cost)
            return None
        call.cost = 0.0
        return refuse("rate_exceeded", retry_after=wait)

    def _workspace(self, name: str) -> Workspace | None:
        table = self.replica.table
        return table.workspaces.get(name) if table is not None else None

    def _announce_refusal(self, call: ForwardCall) -> None:
        self.first_attempts.record(call.fingerprint, call.first_asked_at)
        since = round(self.context.clock() - call.first_asked_at, 3)
        self.zones.announce(RefusalNotice(call.fingerprint, since))

    def _on_refused(self, sender: Sender, message: RefusalNotice) -> None:
        first = self.context.clock() - message.since_s
        self.first_attempts.record(message.fingerprint, first)
        self.zones.pass_on(message)

    def _refund(self, call: ForwardCall) -> None:
        if call.workspace is not None and call.cost:
            self.rates.refund(call.workspace, call.cost)
            call.cost = 0.0

    def _compose_heartbeat(self, complete: bool) -> FleetHeartbeat:
        now = self.context.clock()
        recent = now - RECENT_TOTALS_S
        heartbeat = FleetHeartbeat(
            sent_at=now,
            entry=True,
            zone=self.context.identity.zone,
            store=self.replica_sync.store_state(),
            spent=dict(self.rates.spent)
            if complete
            else self.rates.spent_since(recent),
            partial=not complete,
            evidence=self.evidence_exchange.compose(
                now, complete and self.evidence_exchange.repeats_at(now)
            ),
            leaving=self.replica_sync.leaving_records(),
            capacity=self.members.capacity,
            zoned=True,
            limits=self.limit_exchange.records() if complete else [],
            permits=True,
            origins=True,
            entries=self.known_entries.counted,
            loads=self.load_exchange.records(),
        )
        if complete:
            self.zones.record_own(heartbeat)
        return heartbeat

    def _on_heartbeat(self, member: Member, heartbeat: FleetHeartbeat) -> None:
        if heartbeat.store.age_s >= 0:
            self._start_check.record_stated(
                self.replica.configuration_version, heartbeat.store.configuration
            )
        if heartbeat.engine is not None:
            self._record_engine(heartbeat.engine, self.context.clock())

    def _on_zone_report(self, report: ZoneReport, at: float) -> None:
        for record in report.engines:
            self._record_engine(record.state, at)

    def _record_engine(self, state: EngineState, now: float) -> None:
        memory_estimates = self.generation_dispatcher.reserver.memory_estimates
        memory_estimates.update_from_agent(state, now)
        reported_at = now - state.age_s
        self.crashes.record_report(
            incarnation(state.endpoint, state.born_ms), reported_at
        )
        endpoint = self.replica.registry.endpoints.get(state.endpoint)
        if endpoint is not None and endpoint.stage is Stage.PREFILL:
            load = Load(state.running, state.waiting, endpoint.slots)
            self.loads.record_load(endpoint.id, load, reported_at, heard_here=False)

    def _clean_up(self, now: float) -> None:
        self.rate_exchange.forget_departed()
        self.crashes.forget(now)
        listed = self.replica.registry.endpoints
        self.loads.retain(listed)
        self.generation_dispatcher.reserver.memory_estimates.retain(listed)
        self.agent_client.retain(set(listed))


def _first_refusal(
    steps: tuple[AdmissionStep, ...], call: ForwardCall
) -> Refusal | None:
    """Run steps in their order; return the first refusal, or None."""
    return next((refusal for step in steps if (refusal := step(call))), None)


def _shared_parts(call: ForwardCall) -> tuple[str, ...]:
    """Return the keys of the parts that other requests may share: all but the last."""
    prompt = call.metadata.prompt
    if prompt is None:
        return ()
    return tuple(
        part_key(call.workspace_name, prompt.model, part.id)
        for part in prompt.parts[:-1]
    )


def _cost(call: ForwardCall, workspace: Workspace) -> float:
    prompt = call.metadata.prompt
    if not workspace.counts_tokens:
        return 1.0
    if prompt is None:
        return workspace.plain_cost
    return float(prompt.prompt_tokens + prompt.max_tokens)

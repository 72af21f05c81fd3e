"""Choice of endpoints, sending of attempts and handling of their failures."""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field, replace

from result import Err, Ok, Result

from ebonyglade.bodies import DEFAULT_LIMITS, BodyLimits, read_document
from ebonyglade.completeness import Ending, IncompleteResponse
from ebonyglade.forward.adapter import Adapter
from ebonyglade.forward.answers.verdict import AnswerVerdict, judge_answer
from ebonyglade.forward.balancing.endpoint_loads import EndpointLoads
from ebonyglade.forward.balancing.outstanding import StartedRequest, WorkLedger
from ebonyglade.forward.balancing.request_costs import request_work
from ebonyglade.forward.call import (
    NO_RETRY,
    NOT_ELIGIBLE,
    AttemptFailure,
    EndpointPort,
    EndpointResponse,
    FailureKind,
    ForwardCall,
)
from ebonyglade.forward.eligibility.eligibility import Eligibility
from ebonyglade.forward.endpoint_limits.cold_endpoints import MAX_PERMIT_DELAY_S
from ebonyglade.forward.endpoint_limits.endpoint_limits import EndpointLimits
from ebonyglade.forward.endpoint_limits.permits import FREE_PERMIT, Permit
from ebonyglade.forward.gate.send_gate import MIN_REMAINING_S, SendGate
from ebonyglade.forward.retries.fleet_retries import FleetRetries
from ebonyglade.forward.store.store_replica import StoreReplica
from ebonyglade.forward.types import (
    ControlCall,
    ControlResponse,
    Endpoint,
    EndpointInstructions,
    ResponseMetadata,
    Stage,
)
from ebonyglade.ports import Clock
from ebonyglade.quarantine.evidence import BrokenRun, CrashEvidence, prefilled
from ebonyglade.quarantine.guilty_parts import BEGINNING_S
from ebonyglade.verdict import Refusal, Verdict, combine_verdicts, refuse

logger = logging.getLogger(__name__)

CONTROL_TIMEOUT_S = 0.5  # time limit of calls that run no request
MAX_PERMIT_WAIT_S = 0.25  # longest wait for a permit, if no other endpoint is left
MIN_PERMIT_INTERVAL_S = 0.05  # between two requests for a permit that was refused
# The request was not taken, though endpoints are there.
_NOT_TAKEN = frozenset({FailureKind.REJECTED, FailureKind.NO_RETRY})
# The endpoint answered, but not with a whole answer to the request.
_NO_WHOLE_ANSWER = frozenset({FailureKind.BROKEN, FailureKind.UNPROVEN})

AcquirePermit = Callable[[Endpoint, float], Awaitable[Permit]]
"""Asks for a permit to send one request to an endpoint, and waits so long for it."""


async def _grant_always(endpoint: Endpoint, max_wait_s: float) -> Permit:
    return FREE_PERMIT


@dataclass(slots=True)
class AttemptSender:
    """Sends attempts to endpoints and records their outcomes.

    Attributes:
        adapter: names, formats and calls of the platform.
        port: sends requests and calls to endpoints.
        replica: local replica of the store with routes and endpoints.
        loads: load and failure rate of endpoints.
        retries: retries that may be sent.
        crashes: evidence of requests that crash endpoints.
        clock: seconds.
        rng: source of randomness.
        zone: this instance's availability zone.
        count: adds to a named counter.
        limits: limits of endpoints' answers.
        endpoint_limits: limits that endpoints state.
        permits: acquires permits for endpoints that state a limit.
        regions: region of each availability zone.
        max_key_age_s: age of the configuration above which its keys are no longer
            accepted; None if they are accepted at any age.
        eligibility: decides which endpoints may get a request.
        gate: asks again immediately before a request is sent.
        work: outstanding work at endpoints and cost of requests.
        started_at: when this process started.
    """

    adapter: Adapter
    port: EndpointPort
    replica: StoreReplica
    loads: EndpointLoads
    retries: FleetRetries
    crashes: CrashEvidence
    clock: Clock
    rng: random.Random
    zone: str
    count: Callable[..., None]
    limits: BodyLimits = DEFAULT_LIMITS
    endpoint_limits: EndpointLimits = field(default_factory=EndpointLimits)
    permits: AcquirePermit = _grant_always
    regions: Mapping[str, str] = field(default_factory=dict)
    max_key_age_s: float | None = None
    eligibility: Eligibility = field(init=False)
    gate: SendGate = field(init=False)
    work: WorkLedger = field(init=False)
    started_at: float = field(init=False)
    _background_tasks: set[asyncio.Task] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.started_at = self.clock()
        self.eligibility = Eligibility(self.replica, self.clock, self.regions)
        self.gate = SendGate(
            self.replica,
            self.eligibility,
            self.loads,
            self.crashes,
            self.clock,
            self.max_key_age_s,
        )
        self.work = WorkLedger(self.loads)

    def listed(self, call: ForwardCall, stage: Stage | None = None) -> list[Endpoint]:
        """Return the endpoints of a request's service that accept requests."""
        # Prompts are prefilled at any version; only events must be of one version.
        software = None if stage is Stage.PREFILL else call.software
        return self.replica.registry.accepting(call.service.name, stage, software)

    def accepting(
        self, call: ForwardCall, stage: Stage | None = None
    ) -> list[Endpoint]:
        """Return the listed endpoints that may run a request."""
        return self.eligibility.eligible(call, self.listed(call, stage))

    def eligibility_refusal(
        self, call: ForwardCall, stage: Stage | None = None
    ) -> Refusal | None:
        """Refuse a request if endpoints are listed and it may be sent to none."""
        if not self.eligibility.restricts(call):
            return None
        return self.eligibility.refusal(call, self.listed(call, stage))

    def choose(
        self, call: ForwardCall, excluded: set[str], stage: Stage | None = None
    ) -> Endpoint | None:
        """Return the endpoint to try next; None if there is none."""
        listed = self.accepting(call, stage)
        if not listed:
            return None
        now = self.clock()
        work = self.work.costs.relative(request_work(call, listed[0]))
        cold = self.endpoint_limits.cold.ids(listed)
        chosen = self.loads.choose(
            listed, excluded, self.zone, now, self.rng, cold, work
        )
        if chosen is not None and logger.isEnabledFor(logging.DEBUG):
            logger.debug(
                "endpoint chosen",
                extra={
                    "request": call.id,
                    "endpoint": chosen.id,
                    "work": round(work, 3),
                    **self.loads.log_fields(chosen, now),
                },
            )
        return chosen

    def snapshot(self, service: str, rng: random.Random) -> "AttemptSender":
        """Return a sender whose choices for a service change nothing here.

        It is for `choose` only; what it sent would not be recorded.

        Args:
            service: name of the service.
            rng: source of randomness of the choices.
        """
        listed = self.replica.registry.endpoints.values()
        names = [item.id for item in listed if item.service == service]
        copied = replace(self, loads=self.loads.snapshot(names), rng=rng)
        copied.work.costs = self.work.costs
        return copied

    def request_started(self, call: ForwardCall, endpoint: Endpoint) -> StartedRequest:
        """Record that a request is sent to an endpoint."""
        return self.work.start(endpoint, request_work(call, endpoint), self.clock())

    def request_ended(self, started: StartedRequest) -> None:
        """Record that a request has ended at its endpoint."""
        self.work.end(started, self.clock())

    async def acquire(
        self, call: ForwardCall, excluded: set[str], stage: Stage | None = None
    ) -> Endpoint | None:
        """Return the endpoint to try next, with a permit if it states a limit.

        The permit is waited for only if no other endpoint is left.
        """
        while (endpoint := self.choose(call, excluded, stage)) is not None:
            if not self._is_limited(endpoint):
                return endpoint
            is_last = self.choose(call, {*excluded, endpoint.id}, stage) is None
            max_wait_s = min(MAX_PERMIT_WAIT_S, self.remaining_s(call) / 2)
            granted = await self.acquire_permit(
                endpoint, max_wait_s if is_last else 0.0
            )
            if granted and self.may_use(call, endpoint):
                return endpoint
        return None

    async def acquire_permit(self, endpoint: Endpoint, max_wait_s: float) -> bool:
        """Acquire a permit and wait until it applies.

        Returns:
            False if it was refused; the endpoint is then not chosen for some time.
        """
        asked_at = self.clock()
        permit = await self.permits(endpoint, max_wait_s)
        if permit.granted:
            if permit.wait_s > 0:
                await asyncio.sleep(permit.wait_s)
            delay_s = self.clock() - asked_at - permit.wait_s
            if delay_s < MAX_PERMIT_DELAY_S or not self._is_cold(endpoint):
                return True
            permit = Permit(False)
        self.count("permits_refused")
        logger.info(
            "permit refused", extra={"endpoint": endpoint.id, "free_in": permit.wait_s}
        )
        wait_s = max(permit.wait_s - MAX_PERMIT_WAIT_S, MIN_PERMIT_INTERVAL_S)
        self.loads.defer(endpoint.id, self.clock() + wait_s)
        return False

    async def renew_permit(self, endpoint: Endpoint, acquired_at: float) -> bool:
        """Acquire another permit for a cold endpoint if the first one is too old.

        Requests whose permits were granted one after the other would arrive together if
        a prefill held them up.
        """
        age_s = self.clock() - acquired_at
        if age_s < MAX_PERMIT_DELAY_S or not self._is_cold(endpoint):
            return True
        return await self.acquire_permit(endpoint, MAX_PERMIT_WAIT_S)

    def backoff_left(self, call: ForwardCall, stage: Stage | None = None) -> float:
        """Return the seconds until an endpoint takes requests again.

        The result is zero if one takes them now, or if there is none.
        """
        listed = self.accepting(call, stage)
        return self.loads.backoff_left([item.id for item in listed], self.clock())

    def remaining_s(self, call: ForwardCall) -> float:
        """Return the seconds until the request's deadline."""
        return call.deadline - self.clock()

    async def take_retries(
        self, call: ForwardCall, prefill: bool = False, rejection_likely: bool = False
    ) -> bool:
        """Take the retries that a request may use when it is sent next.

        Args:
            call: the request.
            prefill: whether its prompt is to be prefilled.
            rejection_likely: whether a prefill is likely to be rejected.

        Returns:
            False if too few are left.
        """
        arrivals = call.arrivals
        while arrivals.retries < arrivals.needed(prefill, rejection_likely):
            if not await self.retries.take(call.service.name):
                self.count("repeats_refused")
                logger.info("retry budget exhausted", extra=self._retry_fields(call))
                return False
            arrivals.retries += 1
        return True

    def return_retries(self, call: ForwardCall, kept: int = 0) -> None:
        """Return what a request has not used, but for some retries."""
        while call.arrivals.retries > kept:
            call.arrivals.retries -= 1
            self.retries.give_back(call.service.name)

    def may_use(self, call: ForwardCall, endpoint: Endpoint) -> bool:
        """Return whether a request may still be sent to an endpoint; log if not."""
        obstacle = self.gate.obstacle(call, endpoint)
        if obstacle is None:
            return True
        self.count(f"sendings_withheld_{obstacle.value}")
        logger.info(
            "sending withheld",
            extra={
                "request": call.id,
                "endpoint": endpoint.id,
                "obstacle": obstacle.value,
                "zone": endpoint.zone,
                **self.replica.log_fields(self.clock()),
            },
        )
        return False

    async def send(
        self,
        call: ForwardCall,
        endpoint: Endpoint,
        instructions: EndpointInstructions,
        timeout_s: float,
        runs_request: bool = True,
    ) -> Result[EndpointResponse, AttemptFailure]:
        """Send a request once and record the outcome.

        Args:
            call: the request.
            endpoint: endpoint to send it to.
            instructions: what the endpoint is told in addition to the caller's headers.
            timeout_s: seconds within which the response headers must arrive.
            runs_request: whether the endpoint is to run the request, so that a
                failure counts for its verdict.
        """
        if not self.may_use(call, endpoint):
            return Err(NOT_ELIGIBLE)
        if not call.arrivals.begin():
            return Err(NO_RETRY)
        self.count("sendings")
        if self._is_limited(endpoint):
            self.count("sendings_limited")
        if self._is_cold(endpoint):
            self.count("sendings_cold")
        if call.arrivals.repeats:
            self._log_repeat(call, endpoint, instructions)
        call.endpoints.append(endpoint.id)
        sent_at = self.clock()
        sent = await self.port.send(call, endpoint, instructions, timeout_s)
        if _is_unsent(sent):
            call.arrivals.withdraw()
            if not self.may_use(call, endpoint):
                return Err(NOT_ELIGIBLE)
        elif instructions.prefill_only and _is_success(sent):
            call.arrivals.accept_prefill()
        if runs_request:
            sent = sent.and_then(lambda response: self._judge(call, endpoint, response))
        self._record_no_limit(endpoint, sent, sent_at)
        self._record_outcome(call, endpoint, sent, runs_request, sent_at)
        return sent

    async def control(
        self, endpoint: Endpoint, call: ControlCall
    ) -> Result[ControlResponse, AttemptFailure]:
        """Make a control call and record what its response says of the endpoint.

        None is made to an endpoint in an evacuated zone.
        """
        if self.eligibility.is_evacuated(endpoint):
            return Err(NOT_ELIGIBLE)
        sent_at = self.clock()
        sent = await self.port.control(endpoint, call, CONTROL_TIMEOUT_S)
        if isinstance(sent, Ok):
            response = sent.ok_value
            metadata = self.adapter.read_answer(response.status, response.headers)
            self._record_metadata(endpoint, metadata, sent_at)
        return sent

    def send_in_background(self, endpoint: Endpoint, call: ControlCall) -> None:
        """Make a control call without waiting for its response.

        It is not made to an endpoint that wants none now; what it would release there
        expires by itself.
        """
        if self.loads.in_backoff(endpoint.id, self.clock()):
            return
        task = asyncio.ensure_future(self.control(endpoint, call))
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    def instructions_for(
        self, call: ForwardCall, endpoint: Endpoint
    ) -> EndpointInstructions:
        """Return the instructions that every attempt carries."""
        return EndpointInstructions(
            deadline_s=self.remaining_s(call),
            endpoint=endpoint.id,
            workspace=call.workspace_name,
        )

    def final_refusal(
        self, call: ForwardCall, failure: AttemptFailure | None
    ) -> Refusal:
        """Return the refusal of a request whose attempts have all failed."""
        if call.verdict is Verdict.NOT_RUN:
            if self.remaining_s(call) <= MIN_REMAINING_S:
                return self.gate.refusal(call) or refuse("not_started")
            refusal = self.gate.refusal(call) or self.eligibility_refusal(call)
            if refusal is not None:
                return refusal
            backoff_left = self.backoff_left(call)
            if backoff_left > 0:
                return refuse("overloaded", retry_after=backoff_left)
            if failure is not None and failure.kind in _NOT_TAKEN:
                return refuse("overloaded")
            return refuse("no_endpoint" if failure is None else "endpoint_down")
        if self.remaining_s(call) <= MIN_REMAINING_S:
            return refuse("deadline_exceeded")
        if failure is not None and failure.kind in _NO_WHOLE_ANSWER:
            return refuse("answer_broken")
        return refuse("endpoint_failed")

    async def read_document(
        self,
        call: ForwardCall,
        endpoint: Endpoint,
        response: EndpointResponse,
        timeout_s: float,
        runs_request: bool = True,
    ) -> Result[bytes, AttemptFailure]:
        """Read a response that is passed on as a whole, and record if it fails.

        Args:
            call: the request.
            endpoint: the endpoint that responds.
            response: its response.
            timeout_s: seconds within which the body must be complete.
            runs_request: whether the endpoint ran the request, so that a failure
                counts for its verdict.
        """
        try:
            async with asyncio.timeout(max(0.0, timeout_s)):
                return Ok(
                    await read_document(
                        response.body, self.limits.document_bytes, call.buffers
                    )
                )
        except TimeoutError:
            error = IncompleteResponse("the body was not complete in time", Ending.LATE)
        except IncompleteResponse as caught:
            error = caught
        finally:
            response.close()
        return Err(
            self.record_incomplete(call, endpoint, response, error, runs_request)
        )

    def record_incomplete(
        self,
        call: ForwardCall,
        endpoint: Endpoint,
        response: EndpointResponse,
        error: IncompleteResponse,
        runs_request: bool = True,
    ) -> AttemptFailure:
        """Close and record a response that ended before it was complete."""
        response.close()
        call.buffers.release()
        self.count(f"responses_incomplete_{error.cause.value}")
        logger.info(
            "response incomplete",
            extra={
                "request": call.id,
                "fingerprint": call.fingerprint,
                "endpoint": endpoint.id,
                "status": response.status,
                "framing": response.body.framing.value,
                "ending": error.cause.value,
                "reason": str(error),
            },
        )
        if error.cause is not Ending.NO_MEMORY:
            self.loads.record_outcome(endpoint.id, True, self.clock())
        if error.may_be_crash:
            self._record_crash(call, endpoint)
        late = error.cause is Ending.LATE
        kind = FailureKind.LATE if late else FailureKind.BROKEN
        failure = AttemptFailure(kind, str(error))
        if runs_request:
            call.verdict = combine_verdicts(call.verdict, failure.verdict)
        return failure

    def record_answer(self, call: ForwardCall, status: int) -> None:
        """Record that an endpoint answered a request to the end.

        An error does not show that the request can run without a crash.
        """
        if status >= 500:
            return
        now = self.clock()
        crashes = self.crashes.crashes(call.fingerprint, now)
        for part in call.shared_parts:
            self.crashes.record_answer(part, now, now)
        if call.prefilled:
            self.crashes.record_answer(prefilled(call.fingerprint), now, now)
        if self.crashes.record_answer(call.fingerprint, now, now) and crashes:
            logger.info(
                "crashes under a request cleared",
                extra={
                    "request": call.id,
                    "fingerprint": call.fingerprint,
                    "crashes": crashes,
                },
            )

    def record_encoded_response(
        self, call: ForwardCall, endpoint: Endpoint
    ) -> AttemptFailure:
        """Record a response with an encoding that was not requested."""
        self.loads.record_outcome(endpoint.id, True, self.clock())
        call.verdict = combine_verdicts(call.verdict, Verdict.MAY_HAVE_RUN)
        return AttemptFailure(FailureKind.BROKEN, "unrequested content encoding")

    def _judge(
        self, call: ForwardCall, endpoint: Endpoint, response: EndpointResponse
    ) -> Result[EndpointResponse, AttemptFailure]:
        """Return a response that answers the request; close any other one."""
        verdict = judge_answer(response.status, response.metadata)
        if verdict is AnswerVerdict.ANSWER:
            return Ok(response)
        response.close()
        self.count(f"responses_unproven_{verdict.value}")
        logger.warning(
            "response does not prove that it answers the request",
            extra={
                "request": call.id,
                "endpoint": endpoint.id,
                "status": response.status,
                "check": verdict.value,
            },
        )
        return Err(AttemptFailure(FailureKind.UNPROVEN, verdict.value))

    def _record_crash(self, call: ForwardCall, endpoint: Endpoint) -> None:
        """Record that an endpoint may have crashed under a request."""
        now = self.clock()
        parts = call.shared_parts if self._was_beginning(call, now) else ()
        prefill = endpoint.stage is Stage.PREFILL
        run = BrokenRun(endpoint.incarnation, call.fingerprint, parts, prefill)
        self.crashes.record_run(run, now, now)
        self.count("runs_broken_off")
        logger.info(
            "endpoint may have crashed under a request",
            extra={
                "request": call.id,
                "fingerprint": call.fingerprint,
                "endpoint": endpoint.id,
                "parts": ",".join(parts),
                "crashes": self.crashes.crashes(call.fingerprint, now),
            },
        )

    def _was_beginning(self, call: ForwardCall, now: float) -> bool:
        """Return whether a run that broke off was not written for long before."""
        since = call.writing_since
        return since is None or now - since < BEGINNING_S

    def _log_repeat(
        self, call: ForwardCall, endpoint: Endpoint, instructions: EndpointInstructions
    ) -> None:
        """Log and count that a request is sent once more."""
        self.count("sendings_repeated")
        logger.info(
            "request sent once more",
            extra={
                "endpoint": endpoint.id,
                "prefill": instructions.prefill_only,
                "repeats": call.arrivals.repeats,
                **self._retry_fields(call),
            },
        )

    def _retry_fields(self, call: ForwardCall) -> dict[str, object]:
        return {
            "request": call.id,
            "running_s": round(self.clock() - self.started_at, 3),
            **self.retries.log_fields(call.service.name),
        }

    def _record_outcome(
        self,
        call: ForwardCall,
        endpoint: Endpoint,
        sent: Result[EndpointResponse, AttemptFailure],
        runs_request: bool,
        sent_at: float,
    ) -> None:
        now = self.clock()
        if isinstance(sent, Ok):
            response = sent.ok_value
            self._record_metadata(endpoint, response.metadata, sent_at)
            self.loads.record_outcome(endpoint.id, response.status >= 500, now)
            self.loads.ejections.record_success([endpoint.id])
            self.crashes.record_response(endpoint.incarnation, now)
            return
        failure = sent.err_value
        if failure.metadata is not None:
            self._record_metadata(endpoint, failure.metadata, sent_at)
        self.count(f"failed_{failure.kind.value}")
        logger.info(
            "attempt failed",
            extra={
                "request": call.id,
                "fingerprint": call.fingerprint,
                "endpoint": endpoint.id,
                "trouble": failure.kind.value,
                "reason": failure.reason,
                **self.replica.log_fields(now),
            },
        )
        _FAILURE_HANDLERS[failure.kind](self, call, endpoint, now)
        if runs_request:
            call.verdict = combine_verdicts(call.verdict, failure.verdict)

    def _record_metadata(
        self, endpoint: Endpoint, metadata: ResponseMetadata, sent_at: float
    ) -> None:
        """Record what an endpoint says of itself in any response."""
        now = self.clock()
        if metadata.load is not None:
            self.loads.record_load(endpoint.id, metadata.load, now)
        if metadata.leaving:
            self.replica.mark_leaving(endpoint.id)
        if metadata.limit_per_s is not None:
            self._record_limit(endpoint, metadata.limit_per_s, now)
        self.endpoint_limits.observe_cold(endpoint.incarnation, metadata, sent_at)
        if metadata.retry_after_s is not None:
            self.loads.back_off(endpoint.id, now + metadata.retry_after_s)
            logger.info(
                "endpoint wants no requests",
                extra={"endpoint": endpoint.id, "seconds": metadata.retry_after_s},
            )

    def _is_limited(self, endpoint: Endpoint) -> bool:
        return self.endpoint_limits.limit(endpoint.incarnation) is not None

    def _is_cold(self, endpoint: Endpoint) -> bool:
        return self.endpoint_limits.cold.is_cold(endpoint.incarnation)

    def _record_limit(self, endpoint: Endpoint, per_s: float, now: float) -> None:
        if self.endpoint_limits.observe(endpoint.incarnation, per_s, now):
            logger.info(
                "endpoint stated a limit",
                extra={"endpoint": endpoint.id, "limit_per_s": per_s},
            )

    def _record_no_limit(
        self,
        endpoint: Endpoint,
        sent: Result[EndpointResponse, AttemptFailure],
        sent_at: float,
    ) -> None:
        """Record that an endpoint answered a request without stating a limit."""
        metadata = sent.ok_value.metadata if isinstance(sent, Ok) else None
        if metadata is None or not metadata.signed or metadata.limit_per_s is not None:
            return
        if self.endpoint_limits.observe_none(
            endpoint.incarnation, sent_at, self.clock()
        ):
            logger.info("endpoint no longer limited", extra={"endpoint": endpoint.id})

    def _on_not_sent(self, call: ForwardCall, endpoint: Endpoint, now: float) -> None:
        self.loads.ejections.record_failure(endpoint.id, now)

    def _on_rejected(self, call: ForwardCall, endpoint: Endpoint, now: float) -> None:
        """Do nothing: an endpoint that is full has not failed."""

    def _on_connection_lost(
        self, call: ForwardCall, endpoint: Endpoint, now: float
    ) -> None:
        self.loads.ejections.record_failure(endpoint.id, now)
        self.loads.record_outcome(endpoint.id, True, now)
        self._record_crash(call, endpoint)

    def _on_late_or_broken(
        self, call: ForwardCall, endpoint: Endpoint, now: float
    ) -> None:
        self.loads.record_outcome(endpoint.id, True, now)


def _is_unsent(sent: Result[EndpointResponse, AttemptFailure]) -> bool:
    return isinstance(sent, Err) and sent.err_value.kind is FailureKind.NOT_SENT


def _is_success(sent: Result[EndpointResponse, AttemptFailure]) -> bool:
    return isinstance(sent, Ok) and sent.ok_value.status == 200


_FAILURE_HANDLERS = {
    FailureKind.NOT_SENT: AttemptSender._on_not_sent,
    FailureKind.REJECTED: AttemptSender._on_rejected,
    FailureKind.LOST: AttemptSender._on_connection_lost,
    FailureKind.BROKEN: AttemptSender._on_late_or_broken,
    FailureKind.LATE: AttemptSender._on_late_or_broken,
    FailureKind.UNPROVEN: AttemptSender._on_late_or_broken,
}

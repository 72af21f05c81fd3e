"""Checks executions and answers against the requests that callers sent."""

from collections import Counter

from ebonyglade.agent import AgentCore
from ebonyglade.entry import EntryCore
from ebonyglade.ports import Sender
from ebonyglade.verdict import Verdict
from ebonyglade.wire.base import Message
from ebonyglade.wire.work import Decode, Prefill, Reserve, ServiceRequest
from ebonyglade_lab.fuzz import checks
from ebonyglade_lab.fuzz.fault_history import FaultHistory
from ebonyglade_lab.fuzz.operations import (
    BOOKING,
    MODEL,
    CallerRequest,
    Operation,
    OperationRegistry,
)
from ebonyglade_lab.fuzz.rate_checks import RateChecks
from ebonyglade_lab.fuzz.trace import Trace
from ebonyglade_lab.fuzz.violation import Violation
from ebonyglade_lab.standins.answers import answer_tokens
from ebonyglade_lab.virtual.endpoints import POISON, RESTART_S, FleetObserver
from ebonyglade_lab.virtual.world import World

MIN_SERVER_ERROR = 500  # lowest HTTP status of a server error


class Oracle(FleetObserver):
    """Observes every execution and every outcome of a virtual fleet.

    Attributes:
        rates: checks of the tokens that workspaces were admitted for and received.
        world: the virtual fleet; set after it is built.
        registry: operations and requests of the callers.
        fault_history: how long instances have been without faults.
        trace: the events of the run.
        leaving_since: virtual seconds since when each endpoint is listed as leaving.
        resumed_at: virtual seconds at which each paused instance last resumed.
        verbose: whether messages are traced.
        failures: violations and exceptions so far.
        counts: requests by kind and outcome, so that a run that checks nothing is
            noticed.
    """

    def __init__(
        self, trace: Trace, fault_history: FaultHistory, rates: RateChecks
    ) -> None:
        self.rates = rates
        self.world: World | None = None
        self.registry = OperationRegistry()
        self.fault_history = fault_history
        self.trace = trace
        self.leaving_since: dict[str, float] = {}
        self.resumed_at: dict[str, float] = {}
        self.verbose = False
        self.failures: list[BaseException] = []
        self.counts: Counter[str] = Counter()

    def require(self, holds: bool, name: str, detail: str, subjects: set[str]) -> None:
        """Raise a violation unless the condition holds."""
        if not holds:
            violation = Violation(name, detail, subjects)
            # An exception that is raised inside a process may be swallowed there.
            self.failures.append(violation)
            raise violation

    def raise_failures(self) -> None:
        """Raise the first failure, also one that was raised inside a process."""
        if self.failures:
            raise self.failures[0]

    def invariant_violated(self, instance: str, name: str) -> None:
        """Record an invariant that failed inside a process."""
        self.failures.append(Violation(name, f"inside {instance}", {instance}))

    def job_started(self, engine: str, stage: str, job: str, prompt: str) -> None:
        """Check the start of an engine's job."""
        now = self.world.now()
        self.trace.add(now, f"{job} starts at {engine}:{stage}")
        operation = self.registry.operations[prompt]
        self.registry.by_job[job] = operation
        operation.jobs.append(job)
        self._record_execution(operation, engine, now)
        if POISON in prompt:
            self.fault_history.record_fault_until([engine], now + RESTART_S)
        if checks.CHECK_POISON and POISON in prompt:
            crashes = sum(e.crashes[prompt] for e in self.world.engines.values())
            self.require(
                crashes < checks.MAX_POISON_CRASHES,
                "poison_is_bounded",
                f"{crashes} endpoints crashed",
                operation.subjects,
            )

    def service_executed(
        self, service: str, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Check the execution of a service's call."""
        now = self.world.now()
        operation = self.registry.operations[body.decode()]
        self.trace.add(now, f"{operation.text} runs at {service}:service")
        self._record_execution(operation, service, now)
        if operation.kind == BOOKING:
            self._check_at_most_once(operation)

    def tokens_delivered(self, workspace: str, tokens: float) -> None:
        """Check that tokens that a caller received were admitted."""
        excess = self.rates.record_delivered(workspace, tokens)
        self.require(
            excess <= 0 or not checks.CHECK_RATES,
            "never_above_rate_and_burst",
            f"{workspace} received {excess:.1f} tokens that were not admitted",
            set(),
        )

    def process_started(self, core: EntryCore | AgentCore) -> None:
        """Track the admissions of a new process if it is an entry."""
        if isinstance(core, EntryCore):
            self.rates.track_admissions(core)

    def check_rates(self) -> None:
        """Check all admissions so far against rate and burst."""
        workspace, excess = self.rates.excess()
        self.require(
            excess <= 0 or not checks.CHECK_RATES,
            "never_above_rate_and_burst",
            f"{workspace} was admitted for {excess:.1f} tokens above rate and burst",
            set(),
        )

    def message_received(self, instance: str, sender: Sender, message: Message) -> None:
        """Check the workspace of work that reaches an agent, and that no key leaks."""
        if self.verbose:
            self._trace_message(instance, sender, message)
        now = self.world.now()
        if isinstance(message, Reserve):
            self.registry.reservation_times.setdefault(message.attempt, now)
        text_of = _TEXT_OF.get(type(message))
        if text_of is None:
            return
        operation = self.registry.operations[text_of(message)]
        operation.reserved_at = self.registry.reservation_times.get(
            message.attempt, now
        )
        owners = {request.key.workspace for request in operation.requests}
        self.require(
            message.workspace in owners,
            "runs_only_for_its_workspace",
            f"runs for {message.workspace} instead of {sorted(owners)}",
            operation.subjects,
        )
        leaked = any(
            request.key.text in repr(message) for request in operation.requests
        )
        self.require(
            not leaked, "no_endpoint_sees_the_key", instance, operation.subjects
        )

    def _trace_message(self, instance: str, sender: Sender, message: Message) -> None:
        attempt = getattr(message, "attempt", "")
        if attempt:
            kind = message.__struct_config__.tag
            # The colon keeps the instance's name from being a word of this event (see
            # `Trace.events_about`).
            text = f"{attempt} {kind} from {sender.instance}: reaches {instance}:"
            self.trace.add(self.world.now(), text)

    def check_ended(self) -> None:
        """Check every request that ended since the last call."""
        for operation, request in self.registry.take_ended():
            request.checked = True
            self._check_outcome(operation, request)

    def _record_execution(
        self, operation: Operation, endpoint: str, now: float
    ) -> None:
        operation.executions += 1
        if endpoint not in operation.endpoints:
            operation.endpoints.append(endpoint)
        already_refused = all(
            request.checked and request.not_run for request in operation.requests
        )
        self.require(
            not already_refused or not checks.CHECK_NOT_RUN_OF_ALL_ATTEMPTS,
            "refusal_not_run_is_true",
            f"{operation.text} runs at {endpoint} after it was refused as not run",
            operation.subjects,
        )
        self._check_leaving(operation, endpoint, now)
        self._check_key(operation, endpoint, now)

    def _check_leaving(self, operation: Operation, endpoint: str, now: float) -> None:
        since = self.leaving_since.get(endpoint)
        # Work that the agent accepted earlier may still wait in its queue.
        if since is None or operation.reserved_at - since < checks.MAX_LEAVING_NOTICE_S:
            return
        informed = [
            request
            for request in operation.requests
            if self.fault_history.fault_free_s(request.entry, now)
            >= checks.MAX_LEAVING_NOTICE_S
        ]
        self.require(
            len(informed) < len(operation.requests),
            "leaving_endpoint_gets_nothing_new",
            f"{endpoint} starts {operation.text}, but was listed as leaving "
            f"{now - since:.2f} s ago",
            operation.subjects,
        )

    def _check_key(self, operation: Operation, endpoint: str, now: float) -> None:
        if any(
            self._key_may_be_admitted(request, now) for request in operation.requests
        ):
            return
        self.require(
            False,
            "withdrawn_key_stops_working",
            f"{operation.text} runs at {endpoint} under a withdrawn key",
            operation.subjects,
        )

    def _key_may_be_admitted(self, request: CallerRequest, now: float) -> bool:
        """Return whether a request may still have been admitted under its key."""
        if request.key.withdrawn is None:
            return True
        if (
            request.pending.outcome.sent_at
            < request.key.withdrawn + checks.MAX_KEY_WITHDRAWAL_S
        ):
            return True
        return (
            self.fault_history.fault_free_s(request.entry, now)
            < checks.MAX_KEY_WITHDRAWAL_S
        )

    def _check_withdrawn_answer(
        self, operation: Operation, request: CallerRequest
    ) -> None:
        """Check that no answer completes long after its key was withdrawn."""
        withdrawn, outcome = request.key.withdrawn, request.pending.outcome
        if withdrawn is None or not checks.CHECK_STREAMS_OF_WITHDRAWN_KEYS:
            return
        fault_free = (
            self.fault_history.fault_free_s(request.entry, outcome.ended_at)
            >= checks.MAX_KEY_WITHDRAWAL_S
        )
        late = outcome.ended_at > withdrawn + checks.MAX_KEY_WITHDRAWAL_S
        self.require(
            not (fault_free and late and outcome.complete),
            "withdrawn_key_stops_working",
            f"{request.name} was answered {outcome.ended_at - withdrawn:.2f} s after "
            "its key was withdrawn",
            operation.subjects,
        )

    def _check_at_most_once(self, operation: Operation) -> None:
        repeated = len(operation.requests) > 1
        if repeated and not checks.CHECK_REPEATED_BOOKINGS:
            return
        allowed = 1 if operation.idempotency_key else len(operation.requests)
        self.require(
            operation.executions <= allowed,
            "runs_at_most_once",
            f"{operation.text} ran {operation.executions} times",
            operation.subjects,
        )

    def _check_outcome(self, operation: Operation, request: CallerRequest) -> None:
        outcome = request.pending.outcome
        if (
            not request.pending.task.cancelled()
            and request.pending.task.exception() is not None
        ):
            raise request.pending.task.exception()
        name = self._outcome_name(request)
        self.counts[f"{operation.kind} {name}"] += 1
        self.trace.add(outcome.ended_at, f"{request.name} ends: {name}")
        self._check_answer(operation, request)
        self._check_refusal(operation, request)
        self._check_not_cut_off(operation, request)
        self._check_withdrawn_answer(operation, request)

    def _outcome_name(self, request: CallerRequest) -> str:
        outcome = request.pending.outcome
        if outcome.complete:
            return "whole"
        if outcome.refusal is not None:
            return f"{outcome.refusal.code} ({outcome.refusal.verdict.value})"
        return "cancelled" if request.cancelled else "cut"

    def _check_answer(self, operation: Operation, request: CallerRequest) -> None:
        outcome = request.pending.outcome
        if operation.kind != MODEL:
            correct = not outcome.complete or outcome.body == operation.text.encode()
        else:
            expected = answer_tokens(operation.text, operation.max_tokens)
            tokens = outcome.tokens
            correct = tokens == expected[: len(tokens)]
            correct &= not outcome.complete or len(tokens) == len(expected)
        self.require(
            correct,
            "whole_and_own_answer",
            f"{request.name} got a wrong or incomplete answer",
            operation.subjects,
        )
        if checks.CHECK_STREAMS_OF_WITHDRAWN_KEYS and outcome.complete:
            self._check_stream(operation, request)
        overrun = outcome.ended_at - max(
            request.deadline, self.resumed_at.get(request.entry, 0.0)
        )
        self.require(
            overrun <= checks.MAX_DEADLINE_OVERRUN_S or not self._has_reply(request),
            "answered_in_time",
            f"{request.name} ended {overrun:.2f} s after its deadline",
            operation.subjects,
        )
        self.require(
            self._has_reply(request) or request.entry_killed or request.cancelled,
            "answered_or_refused",
            f"{request.name} got neither answer nor refusal",
            operation.subjects,
        )

    def _check_stream(self, operation: Operation, request: CallerRequest) -> None:
        ended, withdrawn = request.pending.outcome.ended_at, request.key.withdrawn
        self.require(
            withdrawn is None
            or ended < withdrawn + checks.MAX_KEY_WITHDRAWAL_S
            or self.fault_history.fault_free_s(request.entry, ended)
            < checks.MAX_KEY_WITHDRAWAL_S,
            "withdrawn_key_stops_working",
            f"{request.name} was answered in full under a withdrawn key",
            operation.subjects,
        )

    def _has_reply(self, request: CallerRequest) -> bool:
        """Return whether the caller got an answer or a refusal."""
        outcome = request.pending.outcome
        return outcome.complete or outcome.refusal is not None

    def _check_refusal(self, operation: Operation, request: CallerRequest) -> None:
        if not request.not_run:
            return
        outcome = request.pending.outcome
        self.require(
            not outcome.tokens,
            "refusal_not_run_is_true",
            f"{request.name} was refused as not run after {len(outcome.tokens)} tokens",
            operation.subjects,
        )
        if not checks.CHECK_NOT_RUN_OF_ALL_ATTEMPTS:
            return
        no_overlapping_request = all(
            other is request
            or (not other.open and other.pending.outcome.ended_at <= outcome.sent_at)
            for other in operation.requests
        )
        ran = operation.executions - request.executions_before
        self.require(
            not no_overlapping_request or ran == 0,
            "refusal_not_run_is_true",
            f"{request.name} was refused as not run after {ran} executions",
            operation.subjects,
        )

    def _check_not_cut_off(self, operation: Operation, request: CallerRequest) -> None:
        """Check that no request is cut off without a fault, as by a planned stop."""
        outcome = request.pending.outcome
        fault_free_s = self.fault_history.fleet_fault_free_s(outcome.ended_at)
        duration_s = outcome.ended_at - outcome.sent_at
        if request.cancelled or fault_free_s < duration_s + checks.MIN_FAULT_FREE_S:
            return
        if request.key.withdrawn is not None:
            # The withdrawal of a key ends the requests that run under it.
            return
        if POISON in operation.text:
            return
        if operation.kind == BOOKING and request.executions_before:
            # A repeated booking that ran before is rightly refused, not cut off.
            return
        self.counts["calm"] += 1
        refusal = outcome.refusal
        if refusal is not None and refusal.code == "key_withdrawn":
            # Only an operator's withdrawal of the key may lead to this refusal.
            self.require(
                request.key.withdrawn is not None,
                "withdrawal_is_true",
                f"{request.name} was refused for a key that is valid",
                operation.subjects,
            )
            return
        interrupted = refusal is not None and refusal.verdict is not Verdict.NOT_RUN
        # A status below 500 is about the caller's key, ticket or request, unless the
        # operation was started for its only request.
        started_first_time = (
            operation.executions > request.executions_before
            and len(operation.requests) == 1
        )
        interrupted &= started_first_time or (
            refusal is not None and refusal.status >= MIN_SERVER_ERROR
        )
        self.require(
            not interrupted,
            "planned_stop_cuts_off_nothing",
            f"{request.name} was cut off without any fault",
            operation.subjects,
        )


def _prompt(message: Prefill | Decode) -> str:
    return message.prompt


def _body(message: ServiceRequest) -> str:
    return message.body.decode()


_TEXT_OF = {Prefill: _prompt, Decode: _prompt, ServiceRequest: _body}

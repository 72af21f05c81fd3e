"""Judges executions and answers against what callers sent."""

from collections import Counter

from ebonyglade.agent import AgentCore
from ebonyglade.entry import EntryCore
from ebonyglade.ports import Sender
from ebonyglade.verdict import Verdict
from ebonyglade.wire.base import Message
from ebonyglade.wire.work import Decode, Prefill, Reserve, Serve
from ebonyglade_lab.fuzz import checks
from ebonyglade_lab.fuzz.calm import Calm
from ebonyglade_lab.fuzz.ledger import BOOKING, MODEL, Ledger, Operation, Send
from ebonyglade_lab.fuzz.spending import Spending
from ebonyglade_lab.fuzz.trace import Trace
from ebonyglade_lab.fuzz.violation import Violation
from ebonyglade_lab.standins.answers import answer_tokens
from ebonyglade_lab.virtual.endpoints import POISON, RESTART_S, Watcher
from ebonyglade_lab.virtual.world import World

SERVER_ERROR = 500  # least HTTP status that blames the service


class Oracle(Watcher):
    """Sees every execution and every outcome of a world.

    Attributes:
        world: the world that it watches; set once that is built.
        ledger: what callers sent.
        calm: how long instances have been without faults.
        trace: what happened.
        spending: tokens that workspaces were admitted for and got.
        leaving: since when each leaving endpoint is listed so.
        woken: when each paused instance last went on.
        verbose: whether messages are traced.
        failures: what was raised so far.
        counts: outcomes by kind, so that a run that tests nothing shows.
    """

    def __init__(self, trace: Trace, calm: Calm, spending: Spending) -> None:
        self.spending = spending
        self.world: World | None = None
        self.ledger = Ledger()
        self.calm = calm
        self.trace = trace
        self.leaving: dict[str, float] = {}
        self.woken: dict[str, float] = {}
        self.verbose = False
        self.failures: list[BaseException] = []
        self.counts: Counter[str] = Counter()

    def require(self, holds: bool, name: str, detail: str, words: set[str]) -> None:
        """Raise a violation unless it holds."""
        if not holds:
            violation = Violation(name, detail, words)
            # What is raised inside a process may end there.
            self.failures.append(violation)
            raise violation

    def raise_failures(self) -> None:
        """Raise the first failure that was noted inside a process."""
        if self.failures:
            raise self.failures[0]

    def violated(self, instance: str, name: str) -> None:
        """Note an invariant that failed inside a process."""
        self.failures.append(Violation(name, f"inside {instance}", {instance}))

    def started(self, engine: str, stage: str, job: str, prompt: str) -> None:
        """Judge the start of an engine's job."""
        now = self.world.now()
        self.trace.add(now, f"{job} starts at {engine}:{stage}")
        operation = self.ledger.operations[prompt]
        self.ledger.by_job[job] = operation
        operation.jobs.append(job)
        self._execute(operation, engine, now)
        if POISON in prompt:
            self.calm.shake([engine], now + RESTART_S)
        if checks.CHECK_POISON and POISON in prompt:
            deaths = sum(e.deaths[prompt] for e in self.world.engines.values())
            self.require(
                deaths < checks.POISON_DEATHS,
                "poison_is_bounded",
                f"{deaths} endpoints lost",
                operation.words,
            )

    def executed(
        self, service: str, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Judge the execution of a service's call."""
        now = self.world.now()
        operation = self.ledger.operations[body.decode()]
        self.trace.add(now, f"{operation.text} runs at {service}:service")
        self._execute(operation, service, now)
        if operation.kind == BOOKING:
            self._check_once(operation)

    def spent(self, workspace: str, tokens: float) -> None:
        """Judge tokens that a caller got: they must have been admitted."""
        over = self.spending.got(workspace, tokens)
        self.require(
            over <= 0 or not checks.CHECK_RATES,
            "never_above_rate_and_burst",
            f"{workspace} got {over:.1f} tokens that were not admitted",
            set(),
        )

    def booted(self, core: EntryCore | AgentCore) -> None:
        """Watch the admissions of an entry's new process."""
        if isinstance(core, EntryCore):
            self.spending.watch(core)

    def judge_rates(self) -> None:
        """Judge all admissions so far."""
        workspace, over = self.spending.excess()
        self.require(
            over <= 0 or not checks.CHECK_RATES,
            "never_above_rate_and_burst",
            f"{workspace} was admitted for {over:.1f} tokens too many",
            set(),
        )

    def heard(self, instance: str, sender: Sender, message: Message) -> None:
        """Judge an order that reaches an agent."""
        if self.verbose:
            self._note(instance, sender, message)
        now = self.world.now()
        if isinstance(message, Reserve):
            self.ledger.reserved.setdefault(message.attempt, now)
        reader = _TEXT_OF.get(type(message))
        if reader is None:
            return
        operation = self.ledger.operations[reader(message)]
        operation.ordered = self.ledger.reserved.get(message.attempt, now)
        owners = {send.key.workspace for send in operation.sends}
        self.require(
            message.workspace in owners,
            "runs_only_for_its_workspace",
            f"{message.workspace} instead of {sorted(owners)}",
            operation.words,
        )
        leaked = any(send.key.text in repr(message) for send in operation.sends)
        self.require(not leaked, "no_endpoint_sees_the_key", instance, operation.words)

    def _note(self, instance: str, sender: Sender, message: Message) -> None:
        attempt = getattr(message, "attempt", "")
        if attempt:
            kind = type(message).__name__
            text = f"{attempt} {kind} from {sender.instance}: reaches {instance}:"
            self.trace.add(self.world.now(), text)

    def judge_ended(self) -> None:
        """Judge every request that ended since the last call."""
        for operation, send in self.ledger.take_ended():
            send.settled = True
            self._judge(operation, send)

    def _execute(self, operation: Operation, place: str, now: float) -> None:
        operation.executions += 1
        if place not in operation.places:
            operation.places.append(place)
        late = all(send.settled and send.not_run for send in operation.sends)
        self.require(
            not late or not checks.CHECK_VERDICT_OVER_ATTEMPTS,
            "refusal_not_run_is_true",
            f"{operation.text} runs at {place} after it was refused",
            operation.words,
        )
        self._check_leaving(operation, place, now)
        self._check_key(operation, place, now)

    def _check_leaving(self, operation: Operation, place: str, now: float) -> None:
        since = self.leaving.get(place)
        # Work that was taken before may wait at the endpoint for its turn.
        if since is None or operation.ordered - since < checks.LEAVING_S:
            return
        informed = [
            send
            for send in operation.sends
            if self.calm.seconds(send.entry, now) >= checks.LEAVING_S
        ]
        self.require(
            len(informed) < len(operation.sends),
            "leaving_endpoint_gets_nothing_new",
            f"{place} leaves for {now - since:.2f} s and starts {operation.text}",
            operation.words,
        )

    def _check_key(self, operation: Operation, place: str, now: float) -> None:
        if any(self._admissible(send, now) for send in operation.sends):
            return
        self.require(
            False,
            "withdrawn_key_stops_working",
            f"{operation.text} runs at {place}",
            operation.words,
        )

    def _admissible(self, send: Send, now: float) -> bool:
        """Return whether a send may still have been admitted by its key."""
        if send.key.withdrawn is None:
            return True
        if send.sent.outcome.started < send.key.withdrawn + checks.KEY_STOPS_S:
            return True
        return self.calm.seconds(send.entry, now) < checks.KEY_STOPS_S

    def _check_withdrawn_answer(self, operation: Operation, send: Send) -> None:
        """An answer under way ends soon after its key was withdrawn."""
        withdrawn, outcome = send.key.withdrawn, send.sent.outcome
        if withdrawn is None or not checks.CHECK_STREAMS_OF_WITHDRAWN_KEYS:
            return
        calm = self.calm.seconds(send.entry, outcome.ended) >= checks.KEY_STOPS_S
        late = outcome.ended > withdrawn + checks.KEY_STOPS_S
        self.require(
            not (calm and late and outcome.whole),
            "withdrawn_key_stops_working",
            f"{send.name} was answered {outcome.ended - withdrawn:.2f} s after",
            operation.words,
        )

    def _check_once(self, operation: Operation) -> None:
        repeated = len(operation.sends) > 1
        if repeated and not checks.CHECK_REPEATS_RUN_ONCE:
            return
        allowed = 1 if operation.idempotency_key else len(operation.sends)
        self.require(
            operation.executions <= allowed,
            "runs_at_most_once",
            f"{operation.text} ran {operation.executions} times",
            operation.words,
        )

    def _judge(self, operation: Operation, send: Send) -> None:
        outcome = send.sent.outcome
        if not send.sent.task.cancelled() and send.sent.task.exception() is not None:
            raise send.sent.task.exception()
        kind = self._kind(send)
        self.counts[f"{operation.kind} {kind}"] += 1
        self.trace.add(outcome.ended, f"{send.name} ends: {kind}")
        self._check_answer(operation, send)
        self._check_refusal(operation, send)
        self._check_calm(operation, send)
        self._check_withdrawn_answer(operation, send)

    def _kind(self, send: Send) -> str:
        outcome = send.sent.outcome
        if outcome.whole:
            return "whole"
        if outcome.refusal is not None:
            return f"{outcome.refusal.code} ({outcome.refusal.verdict.value})"
        return "cancelled" if send.cancelled else "cut"

    def _check_answer(self, operation: Operation, send: Send) -> None:
        outcome = send.sent.outcome
        if operation.kind != MODEL:
            good = not outcome.whole or outcome.body == operation.text.encode()
        else:
            expected = answer_tokens(operation.text, operation.max_tokens)
            have = outcome.tokens
            good = have == expected[: len(have)]
            good &= not outcome.whole or len(have) == len(expected)
        self.require(
            good, "whole_and_own_answer", f"answer of {send.name}", operation.words
        )
        if checks.CHECK_STREAMS_OF_WITHDRAWN_KEYS and outcome.whole:
            self._check_stream(operation, send)
        over = outcome.ended - max(send.deadline, self.woken.get(send.entry, 0.0))
        self.require(
            over <= checks.LATE_ANSWER_S or not self._present(send),
            "answered_in_time",
            f"{send.name} ended {over:.2f} s after its deadline",
            operation.words,
        )
        self.require(
            self._present(send) or send.cut or send.cancelled,
            "answered_or_refused",
            f"{send.name} got neither answer nor refusal",
            operation.words,
        )

    def _check_stream(self, operation: Operation, send: Send) -> None:
        ended, withdrawn = send.sent.outcome.ended, send.key.withdrawn
        self.require(
            withdrawn is None
            or ended < withdrawn + checks.KEY_STOPS_S
            or self.calm.seconds(send.entry, ended) < checks.KEY_STOPS_S,
            "withdrawn_key_stops_working",
            f"{send.name} went on to its end",
            operation.words,
        )

    def _present(self, send: Send) -> bool:
        """Return whether the caller got an answer or a refusal."""
        outcome = send.sent.outcome
        return outcome.whole or outcome.refusal is not None

    def _check_refusal(self, operation: Operation, send: Send) -> None:
        if not send.not_run:
            return
        outcome = send.sent.outcome
        self.require(
            not outcome.tokens,
            "refusal_not_run_is_true",
            f"{send.name} was refused after {len(outcome.tokens)} tokens",
            operation.words,
        )
        if not checks.CHECK_VERDICT_OVER_ATTEMPTS:
            return
        alone = all(
            other is send
            or (not other.open and other.sent.outcome.ended <= outcome.started)
            for other in operation.sends
        )
        ran = operation.executions - send.before
        self.require(
            not alone or ran == 0,
            "refusal_not_run_is_true",
            f"{send.name} was refused after {ran} starts",
            operation.words,
        )

    def _check_calm(self, operation: Operation, send: Send) -> None:
        """A planned stop, and all else that is no fault, cuts off no request."""
        outcome = send.sent.outcome
        quiet = self.calm.everywhere(outcome.ended)
        length = outcome.ended - outcome.started
        if send.cancelled or quiet < length + checks.SETTLED_S:
            return
        if send.key.withdrawn is not None:
            # The withdrawal ends what runs under the key.
            return
        if POISON in operation.text:
            return
        if operation.kind == BOOKING and send.before:
            # A repeat of what ran is refused with the truth, cut off from nothing.
            return
        self.counts["calm"] += 1
        refusal = outcome.refusal
        if refusal is not None and refusal.code == "key_withdrawn":
            # An operator's withdrawal ends what runs under the key.
            self.require(
                send.key.withdrawn is not None,
                "withdrawal_is_true",
                f"{send.name} was refused for a key that is valid",
                operation.words,
            )
            return
        cut = refusal is not None and refusal.verdict is not Verdict.NOT_RUN
        # A status below 500 tells of the caller's key, ticket or request, unless
        # the request was running for the first time.
        began = operation.executions > send.before and len(operation.sends) == 1
        cut &= began or (refusal is not None and refusal.status >= SERVER_ERROR)
        self.require(
            not cut,
            "planned_stop_cuts_off_nothing",
            f"{send.name} was cut off without any fault",
            operation.words,
        )


def _prompt(message: Prefill | Decode) -> str:
    return message.prompt


def _body(message: Serve) -> str:
    return message.body.decode()


_TEXT_OF = {Prefill: _prompt, Decode: _prompt, Serve: _body}

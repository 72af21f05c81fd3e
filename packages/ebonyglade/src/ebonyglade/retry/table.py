"""Tables that map failures to verdicts, and verdicts to actions.

A failure is the step and what was sent; it yields a code and a verdict. The action
depends on the verdict, the kind of request and what the caller received.

`docs/design/retries.md` shows the tables as `markdown` renders them.
"""

from dataclasses import dataclass
from enum import Enum

from ebonyglade.verdict import Refusal, Verdict, refuse


class FailureStep(Enum):
    """Step at which an attempt failed."""

    CHOICE = "choosing an endpoint"
    RESERVE = "reserving a slot at the agent"
    HAND_OVER = "handing the request to the agent"
    AGENT = "at the agent, before the endpoint"
    ENDPOINT = "at the endpoint"
    STREAM = "in mid-answer"
    DEADLINE = "the deadline passed"


class Sent(Enum):
    """What had been sent when the attempt failed."""

    NOTHING = "nothing"
    RESERVATION = "a reservation"
    REQUEST = "the request"


class RequestKind(Enum):
    """Whether a request may be sent more than once."""

    ONCE = "not repeatable"
    REPEATABLE = "repeatable"
    MODEL = "model"


class Delivered(Enum):
    """How much of the answer the caller has received."""

    NOTHING = "nothing"
    PART = "a part"


class RetryAction(Enum):
    """What the entry does after a failed attempt."""

    RETRY = "try another endpoint"
    RESUME = "go on elsewhere from what the caller has"
    GIVE_UP = "refuse at once"


@dataclass(frozen=True, slots=True)
class Failure:
    """Refusal code and verdict of one kind of failure."""

    code: str
    verdict: Verdict


_NOT, _MAYBE = Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN

FAILURES: dict[tuple[FailureStep, Sent], Failure] = {
    (FailureStep.CHOICE, Sent.NOTHING): Failure("no_endpoint", _NOT),
    (FailureStep.RESERVE, Sent.NOTHING): Failure("endpoint_down", _NOT),
    (FailureStep.RESERVE, Sent.RESERVATION): Failure("endpoint_down", _NOT),
    (FailureStep.HAND_OVER, Sent.NOTHING): Failure("endpoint_down", _NOT),
    (FailureStep.HAND_OVER, Sent.REQUEST): Failure("agent_lost", _MAYBE),
    (FailureStep.AGENT, Sent.NOTHING): Failure("endpoint_down", _NOT),
    (FailureStep.ENDPOINT, Sent.NOTHING): Failure("endpoint_down", _NOT),
    (FailureStep.ENDPOINT, Sent.REQUEST): Failure("endpoint_failed", _MAYBE),
    (FailureStep.STREAM, Sent.REQUEST): Failure("agent_lost", _MAYBE),
    (FailureStep.DEADLINE, Sent.NOTHING): Failure("deadline_exceeded", _NOT),
    (FailureStep.DEADLINE, Sent.RESERVATION): Failure("deadline_exceeded", _NOT),
    (FailureStep.DEADLINE, Sent.REQUEST): Failure("deadline_exceeded", _MAYBE),
}

ACTIONS: dict[tuple[Verdict, RequestKind, Delivered], RetryAction] = {
    (Verdict.NOT_RUN, RequestKind.ONCE, Delivered.NOTHING): RetryAction.RETRY,
    (Verdict.MAY_HAVE_RUN, RequestKind.ONCE, Delivered.NOTHING): RetryAction.GIVE_UP,
    (Verdict.RAN, RequestKind.ONCE, Delivered.NOTHING): RetryAction.GIVE_UP,
    (Verdict.NOT_RUN, RequestKind.REPEATABLE, Delivered.NOTHING): RetryAction.RETRY,
    (
        Verdict.MAY_HAVE_RUN,
        RequestKind.REPEATABLE,
        Delivered.NOTHING,
    ): RetryAction.RETRY,
    (Verdict.RAN, RequestKind.REPEATABLE, Delivered.NOTHING): RetryAction.RETRY,
    (Verdict.NOT_RUN, RequestKind.MODEL, Delivered.NOTHING): RetryAction.RETRY,
    (Verdict.MAY_HAVE_RUN, RequestKind.MODEL, Delivered.NOTHING): RetryAction.RETRY,
    (Verdict.RAN, RequestKind.MODEL, Delivered.NOTHING): RetryAction.RETRY,
    (Verdict.NOT_RUN, RequestKind.MODEL, Delivered.PART): RetryAction.RESUME,
    (Verdict.MAY_HAVE_RUN, RequestKind.MODEL, Delivered.PART): RetryAction.RESUME,
    (Verdict.RAN, RequestKind.MODEL, Delivered.PART): RetryAction.RESUME,
}

# Failures after which another endpoint may succeed. All codes that are neither
# here nor in WAITABLE_CODES are final.
RETRYABLE_CODES = frozenset(
    {
        "endpoint_down",
        "endpoint_failed",
        "agent_lost",
        "overloaded",
        "deadline_infeasible",
        "stopping",
        "resume_unsupported",
    }
)

# Failures that only waiting can resolve; retried for patient requests and to resume a
# stream.
WAITABLE_CODES = frozenset({"no_endpoint"})


def refusal_at(step: FailureStep, sent: Sent) -> Refusal:
    """Return the refusal for a failure at a step."""
    failure = FAILURES[step, sent]
    return refuse(failure.code, verdict=failure.verdict)


def action_of(
    refusal: Refusal, kind: RequestKind, reached: Delivered, patient: bool = False
) -> RetryAction:
    """Return what to do after a failure, regardless of budget and deadline."""
    waits = patient or reached is Delivered.PART
    if refusal.code not in RETRYABLE_CODES and not (
        waits and refusal.code in WAITABLE_CODES
    ):
        return RetryAction.GIVE_UP
    return ACTIONS.get((refusal.verdict, kind, reached), RetryAction.GIVE_UP)


def markdown() -> str:
    """Return both tables as one Markdown table."""
    kinds = " | ".join(kind.value for kind in RequestKind)
    lines = [
        f"| where it failed | what was sent | verdict | code | {kinds} |",
        "| --- " * (4 + len(RequestKind)) + "|",
    ]
    for (step, sent), failure in FAILURES.items():
        reached = Delivered.PART if step is FailureStep.STREAM else Delivered.NOTHING
        refusal = refusal_at(step, sent)
        actions = " | ".join(
            _cell(step, action_of(refusal, kind, reached), kind) for kind in RequestKind
        )
        lines.append(
            f"| {step.value} | {sent.value} | {failure.verdict.value} "
            f"| `{failure.code}` | {actions} |"
        )
    return "\n".join(lines)


def _cell(step: FailureStep, action: RetryAction, kind: RequestKind) -> str:
    streams = step is FailureStep.STREAM
    return "-" if streams and kind is not RequestKind.MODEL else action.value

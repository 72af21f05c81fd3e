"""The table of failures: where, what was sent, which kind -> verdict, action.

`docs/design/retries.md` shows the table as `markdown` renders it.
"""

from dataclasses import dataclass
from enum import Enum

from ebonyglade.verdict import Refusal, Verdict, refuse


class Where(Enum):
    """Step at which an attempt failed."""

    CHOICE = "choosing an endpoint"
    RESERVE = "reserving a slot at the agent"
    HAND_OVER = "handing the request to the agent"
    AGENT = "at the agent, before the endpoint"
    ENDPOINT = "at the endpoint"
    STREAM = "in mid-answer"
    DEADLINE = "the deadline passed"


class Sent(Enum):
    """What had left the part that failed."""

    NOTHING = "nothing"
    RESERVATION = "a reservation"
    REQUEST = "the request"


class Kind(Enum):
    """What may be done with a request."""

    ONCE = "not repeatable"
    REPEATABLE = "repeatable"
    MODEL = "model"


class Reached(Enum):
    """What the caller has of the answer."""

    NOTHING = "nothing"
    PART = "a part"


class Action(Enum):
    """What the entry does next."""

    RETRY = "try another endpoint"
    RESUME = "go on elsewhere from what the caller has"
    GIVE_UP = "refuse at once"


@dataclass(frozen=True, slots=True)
class Failure:
    """One way to fail: the code that the caller gets, and the verdict."""

    code: str
    verdict: Verdict


_NOT, _MAYBE = Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN

FAILURES: dict[tuple[Where, Sent], Failure] = {
    (Where.CHOICE, Sent.NOTHING): Failure("no_endpoint", _NOT),
    (Where.RESERVE, Sent.NOTHING): Failure("endpoint_down", _NOT),
    (Where.RESERVE, Sent.RESERVATION): Failure("endpoint_down", _NOT),
    (Where.HAND_OVER, Sent.NOTHING): Failure("endpoint_down", _NOT),
    (Where.HAND_OVER, Sent.REQUEST): Failure("agent_lost", _MAYBE),
    (Where.AGENT, Sent.NOTHING): Failure("endpoint_down", _NOT),
    (Where.ENDPOINT, Sent.NOTHING): Failure("endpoint_down", _NOT),
    (Where.ENDPOINT, Sent.REQUEST): Failure("endpoint_failed", _MAYBE),
    (Where.STREAM, Sent.REQUEST): Failure("agent_lost", _MAYBE),
    (Where.DEADLINE, Sent.NOTHING): Failure("deadline_exceeded", _NOT),
    (Where.DEADLINE, Sent.RESERVATION): Failure("deadline_exceeded", _NOT),
    (Where.DEADLINE, Sent.REQUEST): Failure("deadline_exceeded", _MAYBE),
}

ACTIONS: dict[tuple[Verdict, Kind, Reached], Action] = {
    (Verdict.NOT_RUN, Kind.ONCE, Reached.NOTHING): Action.RETRY,
    (Verdict.MAY_HAVE_RUN, Kind.ONCE, Reached.NOTHING): Action.GIVE_UP,
    (Verdict.RAN, Kind.ONCE, Reached.NOTHING): Action.GIVE_UP,
    (Verdict.NOT_RUN, Kind.REPEATABLE, Reached.NOTHING): Action.RETRY,
    (Verdict.MAY_HAVE_RUN, Kind.REPEATABLE, Reached.NOTHING): Action.RETRY,
    (Verdict.RAN, Kind.REPEATABLE, Reached.NOTHING): Action.RETRY,
    (Verdict.NOT_RUN, Kind.MODEL, Reached.NOTHING): Action.RETRY,
    (Verdict.MAY_HAVE_RUN, Kind.MODEL, Reached.NOTHING): Action.RETRY,
    (Verdict.RAN, Kind.MODEL, Reached.NOTHING): Action.RETRY,
    (Verdict.NOT_RUN, Kind.MODEL, Reached.PART): Action.RESUME,
    (Verdict.MAY_HAVE_RUN, Kind.MODEL, Reached.PART): Action.RESUME,
    (Verdict.RAN, Kind.MODEL, Reached.PART): Action.RESUME,
}

# Failures that another endpoint can mend; all others but the next are final.
MENDABLE = frozenset(
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

# Failures that only waiting can mend, for those who wait.
PASSING = frozenset({"no_endpoint"})


def failed(where: Where, sent: Sent) -> Refusal:
    """Return the refusal of a failure."""
    failure = FAILURES[where, sent]
    return refuse(failure.code, verdict=failure.verdict)


def action_of(
    refusal: Refusal, kind: Kind, reached: Reached, patient: bool = False
) -> Action:
    """Return what to do after a failure, budgets and deadline aside."""
    waits = patient or reached is Reached.PART
    if refusal.code not in MENDABLE and not (waits and refusal.code in PASSING):
        return Action.GIVE_UP
    return ACTIONS.get((refusal.verdict, kind, reached), Action.GIVE_UP)


def markdown() -> str:
    """Return the whole table as Markdown."""
    kinds = " | ".join(kind.value for kind in Kind)
    lines = [
        f"| where it failed | what was sent | verdict | code | {kinds} |",
        "| --- " * (4 + len(Kind)) + "|",
    ]
    for (where, sent), failure in FAILURES.items():
        reached = Reached.PART if where is Where.STREAM else Reached.NOTHING
        refusal = failed(where, sent)
        actions = " | ".join(
            _cell(where, action_of(refusal, kind, reached), kind) for kind in Kind
        )
        lines.append(
            f"| {where.value} | {sent.value} | {failure.verdict.value} "
            f"| `{failure.code}` | {actions} |"
        )
    return "\n".join(lines)


def _cell(where: Where, action: Action, kind: Kind) -> str:
    streams = where is Where.STREAM
    return "-" if streams and kind is not Kind.MODEL else action.value

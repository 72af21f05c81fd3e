"""What callers sent and what was executed for it."""

from dataclasses import dataclass, field

from ebonyglade.verdict import Verdict
from ebonyglade_lab.virtual.world import Sent

MODEL = "model"
BOOKING = "booking"
READ = "read"


@dataclass(slots=True)
class CallerKey:
    """A caller's key.

    Attributes:
        text: what the caller presents.
        workspace: "<team>/<workspace>" that it was issued to.
        path: where its digest is published.
        withdrawn: virtual seconds of its withdrawal; None while it is valid.
    """

    text: str
    workspace: str
    path: str
    withdrawn: float | None = None


@dataclass(slots=True)
class Send:
    """One request as a caller sent it.

    Attributes:
        name: word that the trace uses for it.
        entry: instance that it was sent to.
        key: what the caller presented.
        deadline: virtual seconds by which it must be over.
        before: executions of its operation before it was sent.
        sent: the request under way.
        cancelled: whether the caller went away.
        cut: whether its entry was killed.
        settled: whether its outcome was judged.
    """

    name: str
    entry: str
    key: CallerKey
    deadline: float
    before: int
    sent: Sent
    cancelled: bool = False
    cut: bool = False
    settled: bool = False

    @property
    def open(self) -> bool:
        """Whether the caller still waits."""
        return not self.sent.outcome.ended

    @property
    def not_run(self) -> bool:
        """Whether it ended with the word that it did not run."""
        refusal = self.sent.outcome.refusal
        return refusal is not None and refusal.verdict is Verdict.NOT_RUN


@dataclass(slots=True)
class Operation:
    """What a caller wants done, sent once or several times.

    Attributes:
        text: prompt or body; no other operation has the same.
        kind: `MODEL`, `BOOKING` or `READ`.
        max_tokens: most tokens of a model's answer.
        idempotency_key: key that every send of it carries; may be empty.
        sends: every send of it.
        executions: starts at endpoints.
        jobs: engine jobs that were started for it.
        places: endpoints that started it.
    """

    text: str
    kind: str
    max_tokens: int = 0
    idempotency_key: str = ""
    sends: list[Send] = field(default_factory=list)
    executions: int = 0
    jobs: list[str] = field(default_factory=list)
    places: list[str] = field(default_factory=list)

    @property
    def gone(self) -> bool:
        """Whether nobody waits for it any more."""
        return not any(send.open for send in self.sends)

    @property
    def words(self) -> set[str]:
        """Words under which the trace tells of it."""
        names = {send.name for send in self.sends} | {send.entry for send in self.sends}
        return names | set(self.jobs) | set(self.places) | {self.text}


@dataclass(slots=True)
class Ledger:
    """All operations by text and by engine job."""

    operations: dict[str, Operation] = field(default_factory=dict)
    by_job: dict[str, Operation] = field(default_factory=dict)
    waiting: list[tuple[Operation, Send]] = field(default_factory=list)

    def add(self, operation: Operation, send: Send) -> None:
        """Note a send of a new or known operation."""
        self.operations[operation.text] = operation
        operation.sends.append(send)
        self.waiting.append((operation, send))

    def take_ended(self) -> list[tuple[Operation, Send]]:
        """Return the sends that ended since the last call."""
        ended = [pair for pair in self.waiting if not pair[1].open]
        if ended:
            self.waiting = [pair for pair in self.waiting if pair[1].open]
        return ended

"""Requests that callers sent, and what endpoints executed for them."""

from dataclasses import dataclass, field

from ebonyglade.verdict import Verdict
from ebonyglade_lab.virtual.world import PendingRequest

MODEL = "model"
BOOKING = "booking"
READ = "read"


@dataclass(slots=True)
class CallerKey:
    """A caller's key.

    Attributes:
        text: the key itself, as the caller presents it.
        workspace: "<team>/<workspace>" that it was issued to.
        path: configuration path where its digest is published.
        withdrawn: virtual seconds of its withdrawal; None while it is valid.
    """

    text: str
    workspace: str
    path: str
    withdrawn: float | None = None


@dataclass(slots=True)
class CallerRequest:
    """One request as a caller sent it.

    Attributes:
        name: name of the request in the trace.
        entry: instance id of the entry that it was sent to.
        key: the caller's key.
        deadline: virtual seconds by which it must have ended.
        executions_before: executions of its operation before it was sent.
        pending: the request's task and outcome in the virtual fleet.
        cancelled: whether the caller cancelled it.
        entry_killed: whether its entry was killed while it was open.
        checked: whether its outcome was checked.
    """

    name: str
    entry: str
    key: CallerKey
    deadline: float
    executions_before: int
    pending: PendingRequest
    cancelled: bool = False
    entry_killed: bool = False
    checked: bool = False

    @property
    def open(self) -> bool:
        """Whether the caller still waits for the outcome."""
        return not self.pending.outcome.ended_at

    @property
    def not_run(self) -> bool:
        """Whether it was refused with the verdict that it did not run."""
        refusal = self.pending.outcome.refusal
        return refusal is not None and refusal.verdict is Verdict.NOT_RUN


@dataclass(slots=True)
class Operation:
    """A caller's operation, which is requested once or several times.

    Attributes:
        text: prompt or body; unique to the operation.
        kind: `MODEL`, `BOOKING` or `READ`.
        max_tokens: most tokens of a model's answer.
        idempotency_key: key that every request for it carries; may be empty.
        requests: all requests for it.
        executions: how often an endpoint started it.
        jobs: engine jobs that were started for it.
        endpoints: endpoints that started it.
        reserved_at: virtual seconds at which the reservation of its last attempt
            reached the agent, or the work itself where there was no reservation.
    """

    text: str
    kind: str
    max_tokens: int = 0
    idempotency_key: str = ""
    requests: list[CallerRequest] = field(default_factory=list)
    executions: int = 0
    jobs: list[str] = field(default_factory=list)
    endpoints: list[str] = field(default_factory=list)
    reserved_at: float = 0.0

    @property
    def all_ended(self) -> bool:
        """Whether all requests for it have ended."""
        return not any(request.open for request in self.requests)

    @property
    def subjects(self) -> set[str]:
        """Words that occur in the trace events about it."""
        names = {request.name for request in self.requests} | {
            request.entry for request in self.requests
        }
        return names | set(self.jobs) | set(self.endpoints) | {self.text}


@dataclass(slots=True)
class OperationRegistry:
    """All operations by text and by engine job.

    Attributes:
        operations: operations by text.
        by_job: operations by engine job.
        reservation_times: virtual seconds at which the reservation of each attempt
            reached its agent.
        open_requests: requests that have not ended, with their operations.
    """

    operations: dict[str, Operation] = field(default_factory=dict)
    by_job: dict[str, Operation] = field(default_factory=dict)
    reservation_times: dict[str, float] = field(default_factory=dict)
    open_requests: list[tuple[Operation, CallerRequest]] = field(default_factory=list)

    def add(self, operation: Operation, request: CallerRequest) -> None:
        """Add a request for a new or known operation."""
        self.operations[operation.text] = operation
        operation.requests.append(request)
        self.open_requests.append((operation, request))

    def take_ended(self) -> list[tuple[Operation, CallerRequest]]:
        """Return the requests that ended since the last call."""
        ended = [pair for pair in self.open_requests if not pair[1].open]
        if ended:
            self.open_requests = [pair for pair in self.open_requests if pair[1].open]
        return ended

"""A forwarded request under way, and the port through which it is sent."""

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from result import Result

from ebonyglade.forward.types import (
    AnswerFacts,
    ControlCall,
    Endpoint,
    Headers,
    Outgoing,
    Repeat,
    RequestFacts,
    Route,
    Service,
    Workspace,
)
from ebonyglade.verdict import Refusal, Verdict


@dataclass(slots=True)
class ForwardCall:
    """One caller's request and what was found out about it.

    Attributes:
        facts: what its headers say.
        method: HTTP method.
        target: path and query, as sent.
        host: value of the Host header.
        headers: the caller's headers.
        body: whole body.
        arrived: seconds; by the clock that all times here are of.
        first: when its caller asked for the first time, if that was refused;
            None for the first attempt.
        route: route that serves it.
        service: service that the route's shares gave it.
        workspace: on whose behalf; None on open routes.
        deadline: when the caller or the route gives up.
        cost: tokens that it counts.
        fingerprint: what its repeats have in common.
        verdict: the worst that is known of its attempts.
        endpoints: ids of the endpoints that it was sent to, in order.
        may_send: asked right before each sending.
    """

    facts: RequestFacts
    method: str
    target: str
    host: str
    headers: Headers
    body: bytes
    arrived: float
    first: float | None = None
    route: Route | None = None
    service: Service | None = None
    workspace: Workspace | None = None
    deadline: float = 0.0
    cost: float = 0.0
    fingerprint: str = ""
    verdict: Verdict = Verdict.NOT_RUN
    endpoints: list[str] = field(default_factory=list)
    may_send: Callable[[], bool] = field(default=lambda: True)

    @property
    def id(self) -> str:
        """The caller's id of this attempt."""
        return self.facts.request_id

    @property
    def workspace_name(self) -> str:
        """Name of its workspace; "" on open routes."""
        return self.workspace.name if self.workspace else ""

    @property
    def priority(self) -> int:
        """Rank, where 0 is the most urgent."""
        own = self.workspace.priority if self.workspace else None
        return self.route.priority if own is None else own

    @property
    def asked(self) -> float:
        """When its caller asked for the first time."""
        return self.arrived if self.first is None else self.first

    @property
    def repeatable(self) -> bool:
        """Whether it may run more than once."""
        repeat = self.route.repeat
        return repeat is Repeat.IDEMPOTENT or (
            repeat is Repeat.STREAM and self.route.resumable
        )


class Trouble(Enum):
    """How one sending failed."""

    NOT_SENT = "not_sent"  # no byte left
    REJECTED = "rejected"  # the endpoint says that it did not run it
    LOST = "lost"  # the connection ended without an answer
    BROKEN = "broken"  # the answer broke off
    LATE = "late"  # no answer in time


@dataclass(frozen=True, slots=True)
class Failure:
    """One sending that brought no answer.

    Attributes:
        trouble: how it failed.
        reason: for the log.
    """

    trouble: Trouble
    reason: str

    @property
    def verdict(self) -> Verdict:
        """Whether the request may have run."""
        if self.trouble in (Trouble.NOT_SENT, Trouble.REJECTED):
            return Verdict.NOT_RUN
        return Verdict.MAY_HAVE_RUN


class BrokenOff(Exception):
    """An answer ended before it was whole."""


@dataclass(slots=True)
class Answer:
    """An endpoint's answer whose head has arrived.

    Attributes:
        status: HTTP status.
        headers: as the endpoint sent them.
        facts: what they say.
        length: bytes of the body, if it is known.
        chunks: the body; raises `BrokenOff` if it is not whole.
        close: ends the exchange; a body that was not read to its end ends the
            connection too.
    """

    status: int
    headers: Headers
    facts: AnswerFacts
    length: int | None
    chunks: AsyncIterator[bytes]
    close: Callable[[], None]


@dataclass(frozen=True, slots=True)
class Whole:
    """An answer that was read to its end."""

    status: int
    headers: Headers
    body: bytes


@dataclass(slots=True)
class Stream:
    """An answer that is passed on as it arrives.

    Attributes:
        status: HTTP status.
        headers: for the caller.
        chunks: whole events; raises `BrokenOff` if it ends early.
    """

    status: int
    headers: Headers
    chunks: AsyncIterator[bytes]


Reply = Result[Whole | Stream, Refusal]


class EndpointPort(Protocol):
    """Sends requests and calls to endpoints."""

    async def send(
        self, call: ForwardCall, endpoint: Endpoint, out: Outgoing, within: float
    ) -> Result[Answer, Failure]:
        """Send a request once; the head of its answer comes within so many seconds."""
        ...

    async def control(
        self, endpoint: Endpoint, call: ControlCall, within: float
    ) -> Result[tuple[int, bytes], Failure]:
        """Make a call that runs no request."""
        ...

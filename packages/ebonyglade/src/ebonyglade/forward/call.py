"""A forwarded request, its responses and failures, and the port it is sent by."""

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from result import Result

from ebonyglade.bodies import Body
from ebonyglade.buffers import BufferLease
from ebonyglade.forward.retries.arrivals import RequestArrivals
from ebonyglade.forward.types import (
    ControlCall,
    ControlResponse,
    Endpoint,
    EndpointInstructions,
    Headers,
    RequestMetadata,
    ResponseMetadata,
    RetryMode,
    Route,
    Service,
    Workspace,
)
from ebonyglade.verdict import Refusal, Verdict


@dataclass(slots=True)
class ForwardCall:
    """One caller's request and its state while it is forwarded.

    Attributes:
        metadata: parsed request headers.
        method: HTTP method.
        target: path and query, as sent.
        host: value of the Host header.
        headers: the caller's headers.
        body: complete body; empty until it has arrived.
        arrived_at: time of arrival in seconds; all times here are of the same clock.
        first_attempt_at: when the caller sent the first attempt; `arrived_at` if no
            earlier one is known; None before admission.
        route: route that serves it.
        service: service that was picked among the route's shares.
        workspace: workspace that the request belongs to; None on open routes.
        software: version of their software that endpoints must run; None for any.
        deadline: when the caller or the route gives up.
        cost: charged to the workspace's rate limit, in its unit: tokens or requests.
        fingerprint: hash that all retries of the request share.
        shared_parts: keys of the prompt's parts that other requests may share: all but
            the last; in order.
        cache_region: region in which the KV cache of its prompt must stay; None for
            any.
        prefilled: whether a prefill endpoint prefilled the prompt.
        writing_since: when the first event of its answer arrived; None before that.
        verdict: worst verdict of all attempts so far.
        endpoints: ids of the endpoints that it was sent to, in order.
        arrivals: what of it reached endpoints, and retries taken for it.
        may_send: whether it may be sent to an endpoint; checked immediately before
            each attempt is sent.
        buffers: holds the memory of the answer until it was passed on.
    """

    metadata: RequestMetadata
    method: str
    target: str
    host: str
    headers: Headers
    body: bytes | bytearray
    arrived_at: float
    first_attempt_at: float | None = None
    route: Route | None = None
    service: Service | None = None
    workspace: Workspace | None = None
    software: str | None = None
    deadline: float = 0.0
    cost: float = 0.0
    fingerprint: str = ""
    shared_parts: tuple[str, ...] = ()
    cache_region: str | None = None
    prefilled: bool = False
    writing_since: float | None = None
    verdict: Verdict = Verdict.NOT_RUN
    endpoints: list[str] = field(default_factory=list)
    arrivals: RequestArrivals = field(default_factory=RequestArrivals)
    may_send: Callable[[Endpoint], bool] = field(default=lambda endpoint: True)
    buffers: BufferLease = field(default_factory=BufferLease)

    @property
    def id(self) -> str:
        """Id that the caller gave this attempt."""
        return self.metadata.request_id

    @property
    def workspace_name(self) -> str:
        """Name of the workspace; "" on open routes."""
        return self.workspace.name if self.workspace else ""

    @property
    def priority(self) -> int:
        """Priority, where 0 is the most urgent."""
        own = self.workspace.priority if self.workspace else None
        return self.route.priority if own is None else own

    @property
    def first_asked_at(self) -> float:
        """When the caller sent the first attempt."""
        return (
            self.arrived_at if self.first_attempt_at is None else self.first_attempt_at
        )

    @property
    def repeatable(self) -> bool:
        """Whether the request may run more than once."""
        repeat = self.route.repeat
        return repeat is RetryMode.IDEMPOTENT or (
            repeat is RetryMode.STREAM and self.route.resumable
        )


class FailureKind(Enum):
    """How one attempt failed."""

    NOT_SENT = "not_sent"  # no byte was sent
    NOT_ELIGIBLE = "not_eligible"  # nothing was sent: the endpoint may not get it
    NO_RETRY = "no_retry"  # nothing was sent: the retry budget is spent
    REJECTED = "rejected"  # the endpoint states that it did not run the request
    LOST = "lost"  # the connection ended without a response
    BROKEN = "broken"  # the response ended early
    LATE = "late"  # no response in time
    UNPROVEN = "unproven"  # nothing proves that the response answers the request


_VERDICTS = {
    FailureKind.NOT_SENT: Verdict.NOT_RUN,
    FailureKind.NOT_ELIGIBLE: Verdict.NOT_RUN,
    FailureKind.NO_RETRY: Verdict.NOT_RUN,
    FailureKind.REJECTED: Verdict.NOT_RUN,
}


@dataclass(frozen=True, slots=True)
class AttemptFailure:
    """One attempt that brought no usable response.

    Attributes:
        kind: how it failed.
        reason: description for the log.
        metadata: headers of the response, if there was one.
    """

    kind: FailureKind
    reason: str
    metadata: ResponseMetadata | None = None

    @property
    def verdict(self) -> Verdict:
        """Whether the request may have run."""
        return _VERDICTS.get(self.kind, Verdict.MAY_HAVE_RUN)

    @property
    def was_tried(self) -> bool:
        """Whether the endpoint was tried, so that the next attempt is a retry."""
        return self.kind is not FailureKind.NOT_ELIGIBLE


NOT_ELIGIBLE = AttemptFailure(FailureKind.NOT_ELIGIBLE, "endpoint not eligible")
NO_RETRY = AttemptFailure(FailureKind.NO_RETRY, "retry budget exhausted")


@dataclass(slots=True)
class EndpointResponse:
    """An endpoint's response whose headers have arrived.

    Attributes:
        status: HTTP status.
        headers: as the endpoint sent them.
        metadata: parsed headers.
        body: its body, not read yet.
        close: ends the exchange; if the body was not read to its end, the
            connection is closed too.
    """

    status: int
    headers: Headers
    metadata: ResponseMetadata
    body: Body
    close: Callable[[], None]


@dataclass(frozen=True, slots=True)
class CompleteResponse:
    """A response whose body was read to its end."""

    status: int
    headers: Headers
    body: bytes


@dataclass(slots=True)
class StreamedResponse:
    """A response that is passed on as it arrives.

    Attributes:
        status: HTTP status.
        headers: for the caller.
        chunks: complete events; raises `IncompleteResponse` if the stream ends early.
        release: releases what the response holds; must be called at its end, also if
            its chunks were never read. Further calls do nothing.
    """

    status: int
    headers: Headers
    chunks: AsyncIterator[bytes]
    release: Callable[[], None] = lambda: None


Reply = Result[CompleteResponse | StreamedResponse, Refusal]


class EndpointPort(Protocol):
    """Sends requests and calls to endpoints."""

    async def send(
        self,
        call: ForwardCall,
        endpoint: Endpoint,
        instructions: EndpointInstructions,
        timeout_s: float,
    ) -> Result[EndpointResponse, AttemptFailure]:
        """Send a request once and wait `timeout_s` seconds for the response headers."""
        ...

    async def control(
        self, endpoint: Endpoint, call: ControlCall, timeout_s: float
    ) -> Result[ControlResponse, AttemptFailure]:
        """Make a control call, which runs no request."""
        ...

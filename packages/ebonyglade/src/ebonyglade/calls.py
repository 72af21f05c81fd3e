"""Requests in the filter chain, their answers, and the chain itself."""

from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field

from result import Result

from ebonyglade.config.view import ConfigView, KeyOwner, RouteEntry
from ebonyglade.once.ticket import Ticket
from ebonyglade.verdict import Refusal

Headers = list[tuple[str, str]]


@dataclass(frozen=True, slots=True)
class Prompt:
    """Model request of a caller.

    Attributes:
        model: model name.
        text: the prompt.
        tokens: estimated prompt tokens.
        max_tokens: most tokens of the answer; None for the route's default.
    """

    model: str
    text: str
    tokens: int
    max_tokens: int | None = None


@dataclass(slots=True)
class Call:
    """One request and what the filters determined about it.

    Attributes:
        id: request id, unique over the fleet.
        arrived_at: monotonic seconds.
        view: configuration in force when the request arrived.
        method: HTTP method.
        path: path with its query, as sent.
        headers: headers to pass on, without the caller's key.
        body: whole body.
        key: the caller's key; cleared once it is identified.
        idempotency_key: the caller's idempotency key; may be empty.
        prompt: set for model requests.
        owner: workspace that the request runs for.
        route: route that serves it.
        deadline: monotonic seconds by which it must be answered.
        ticket: ticket decoded from the idempotency key, if that is a ticket.
        wants_ticket: whether the caller asks for a ticket for this route.
        fingerprint: hash that is equal for repeats of the request.
        isolated: whether it may run only where no other isolated request runs.
        settled: whether a `NOT_RUN` verdict may be passed on: the ticket's owner
            confirmed it, or no agent issued the ticket for this route.
    """

    id: str
    arrived_at: float
    view: ConfigView
    method: str
    path: str
    headers: Headers
    body: bytes = b""
    key: str = ""
    idempotency_key: str = ""
    prompt: Prompt | None = None
    owner: KeyOwner | None = None
    route: RouteEntry | None = None
    deadline: float = 0.0
    ticket: Ticket | None = None
    wants_ticket: bool = False
    fingerprint: str = ""
    isolated: bool = False
    settled: bool = False

    @property
    def workspace(self) -> str:
        """Workspace that the request runs for; empty before it is known."""
        return self.owner.workspace if self.owner else ""

    @property
    def max_tokens(self) -> int:
        """Most tokens of the answer, within the route's limit."""
        most = self.route.route.max_output_tokens
        asked = self.prompt.max_tokens
        return most if asked is None else min(most, asked)


@dataclass(frozen=True, slots=True)
class CompleteAnswer:
    """Complete answer of an endpoint to a service call."""

    status: int
    headers: Headers
    body: bytes


@dataclass(slots=True)
class TokenStream:
    """A model's answer that is being streamed.

    Attributes:
        tokens: batches of tokens; ends normally only if the answer is complete
            and otherwise raises `StreamFailed`.
        prompt_tokens: tokens of the prompt as the engine counted them.
    """

    tokens: AsyncIterator[list[str]]
    prompt_tokens: int = 0


class StreamFailed(Exception):
    """An answer ended before it was complete."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal


Answer = CompleteAnswer | TokenStream
Reply = Result[Answer, Refusal]
NextHandler = Callable[[Call], Awaitable[Reply]]
Filter = Callable[[Call, NextHandler], Awaitable[Reply]]


@dataclass(slots=True)
class FilterChain:
    """Filters around a final handler; each may refuse, change or delay a call."""

    filters: list[Filter] = field(default_factory=list)

    def wrap(self, last: NextHandler) -> NextHandler:
        """Return one function that runs all filters and then `last`."""
        proceed = last
        for step in reversed(self.filters):
            proceed = _bind(step, proceed)
        return proceed


def _bind(step: Filter, proceed: NextHandler) -> NextHandler:
    async def run(call: Call) -> Reply:
        return await step(call, proceed)

    return run

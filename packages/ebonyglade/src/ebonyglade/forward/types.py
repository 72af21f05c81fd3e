"""What an adapter decodes once, and what the entry decides on.

Times are seconds, sizes bytes, costs tokens, unless a field says otherwise.
"""

from dataclasses import dataclass, field
from enum import Enum

Headers = list[tuple[str, str]]


class Repeat(Enum):
    """What may be repeated on a route."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


class Stage(Enum):
    """What a model endpoint does now."""

    PREFILL = "prefill"
    DECODE = "decode"


@dataclass(frozen=True, slots=True)
class Share:
    """Part of a route's requests that one service gets, by weight."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """One route of the published configuration.

    Attributes:
        name: unique name.
        host: value of the Host header, without a port.
        prefix: start of the paths that it serves; begins and ends with a slash.
        repeat: what may be repeated.
        timeout_s: longest time until the final answer.
        target_s: time within which an answer is on time.
        priority: rank, where 0 is the most urgent.
        shares: services that serve it.
        max_attempts: most endpoints that may run one request.
        open: whether no key is needed.
        resumable: whether a stream may go on at another endpoint.
        gap_target_s: longest pause between two events that is on time.
    """

    name: str
    host: str
    prefix: str
    repeat: Repeat
    timeout_s: float
    target_s: float
    priority: int
    shares: tuple[Share, ...]
    max_attempts: int = 1
    open: bool = False
    resumable: bool = False
    gap_target_s: float | None = None


@dataclass(frozen=True, slots=True)
class EngineTraits:
    """What the model endpoints of a service have in common.

    Attributes:
        slots: requests at once.
        memory_tokens: tokens of KV cache.
        handle_s: how long a prefilled prompt is kept for its decode.
        switch_s: how long a change of stage takes.
        hold_s: longest reservation.
        stride: tokens of one event of a stream; 0 if it is not published.
        backups: whether a run can be copied to another endpoint as it grows.
    """

    slots: int
    memory_tokens: int
    handle_s: float
    switch_s: float
    hold_s: float
    stride: int = 0
    backups: bool = False


@dataclass(frozen=True, slots=True)
class Service:
    """One service of the published configuration.

    Attributes:
        name: unique name.
        max_connections: connections that an endpoint takes from all callers.
        engine: set for services of model endpoints.
    """

    name: str
    max_connections: int
    engine: EngineTraits | None = None


@dataclass(frozen=True, slots=True)
class Workspace:
    """A workspace with its keys and its rate.

    Attributes:
        name: unique name.
        keys: keys in force.
        priority: rank that replaces the route's; None to leave it.
        rate: what it may spend a second over all entries; 0 for no limit.
        burst: what it may spend at once.
        counts_tokens: whether rate and burst are tokens; else requests.
        plain_cost: tokens that a request counts which names none.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    rate: float = 0.0
    burst: float = 0.0
    counts_tokens: bool = True
    plain_cost: float = 1.0


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Bounds on what a caller may send, and how slowly."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Published:
    """One version of the published configuration."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    workspaces: tuple[Workspace, ...] | None
    limits: RequestLimits = RequestLimits()


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An endpoint as the platform lists it.

    Attributes:
        id: its id; mostly new at each start.
        service: service that it belongs to.
        address: "IP:PORT".
        zone: its availability zone.
        leaving: whether it takes nothing new.
        slots: requests at once.
        stage: set for model endpoints.
        born_ms: Unix milliseconds of its start, as it says itself.
    """

    id: str
    service: str
    address: str
    zone: str
    leaving: bool
    slots: int
    stage: Stage | None = None
    born_ms: int = 0


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt, shared by the requests that name its id."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class PromptSize:
    """What a caller says of a prompt.

    Attributes:
        model: model name.
        prompt_tokens: tokens to read.
        max_tokens: most tokens to generate.
        expected_tokens: the caller's estimate of what is generated, if any.
        parts: the prompt's parts in order.
    """

    model: str
    prompt_tokens: int
    max_tokens: int
    expected_tokens: int | None = None
    parts: tuple[PromptPart, ...] = ()


@dataclass(frozen=True, slots=True)
class RequestFacts:
    """What the headers of a caller's request say.

    Attributes:
        request_id: the caller's id of this attempt; "" if there is none.
        deadline_s: how long the caller waits; None if it does not say.
        key: the caller's key; "" if there is none.
        prompt: set for model requests.
        last_event_id: where a stream is to go on; "" at the start.
    """

    request_id: str
    deadline_s: float | None
    key: str
    prompt: PromptSize | None
    last_event_id: str = ""


@dataclass(frozen=True, slots=True)
class Load:
    """Load that an endpoint tells with an answer."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class AnswerFacts:
    """What the headers of an endpoint's answer say.

    Attributes:
        request_id: whose answer it is; "" if it does not say.
        ran: False if the endpoint says that it did not run the request.
        signed: whether the endpoint signed the answer.
        load: the endpoint's load, if it tells it.
        encoded: whether the body is encoded, which nobody asked for.
    """

    request_id: str
    ran: bool
    signed: bool
    load: Load | None = None
    encoded: bool = False


@dataclass(frozen=True, slots=True)
class Outgoing:
    """What the entry says to an endpoint beside the caller's own headers.

    Attributes:
        deadline_s: how long the endpoint may work.
        endpoint: id of the endpoint that is meant.
        workspace: on whose behalf; "" on open routes.
        priority: 0 to 9, where 0 is first; None for the endpoint's default.
        prefill_only: whether only the prompt is to be read.
        cache_source: "IP:PORT/HANDLE" of the KV cache to import; "" for none.
        hold: reservation to use; "" for none.
        last_event_id: where a stream goes on; "" for the caller's own.
    """

    deadline_s: float
    endpoint: str
    workspace: str
    priority: int | None = None
    prefill_only: bool = False
    cache_source: str = ""
    hold: str = ""
    last_event_id: str = ""


@dataclass(frozen=True, slots=True)
class ControlCall:
    """An HTTP call to an endpoint or the store that runs no request."""

    method: str
    target: str
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class Prefilled:
    """A prefilled prompt that waits at its endpoint."""

    handle: str
    tokens: int


@dataclass(frozen=True, slots=True)
class RunState:
    """One request that a model endpoint runs.

    Attributes:
        request: id of the request.
        tokens: its tokens in memory, prompt and answer.
    """

    request: str
    tokens: int


@dataclass(frozen=True, slots=True)
class EngineReport:
    """State of a model endpoint.

    Attributes:
        stage: what it does now.
        busy: whether an order is under way.
        orders: orders accepted since its start.
        waiting: requests that wait.
        running: requests that run.
        memory_used: tokens of memory that can't be freed.
        memory_total: tokens of memory.
        held: tokens reserved.
        runs: what it runs.
        born_ms: Unix milliseconds of its start.
    """

    stage: Stage | None
    busy: bool
    orders: int
    waiting: int
    running: int
    memory_used: int
    memory_total: int
    held: int = 0
    runs: tuple[RunState, ...] = ()
    born_ms: int = 0


@dataclass(frozen=True, slots=True)
class Document:
    """One document of the store.

    Attributes:
        path: its key.
        value: its bytes; None for a removal.
        revision: of its last change.
    """

    path: str
    value: bytes | None
    revision: int


@dataclass(frozen=True, slots=True)
class Page:
    """An answer of the store: documents, and the revision it is as of."""

    documents: tuple[Document, ...]
    as_of: int
    truncated: bool = False


@dataclass(slots=True)
class EndpointRegistry:
    """The endpoints that may get work, by service.

    Attributes:
        endpoints: by id.
    """

    endpoints: dict[str, Endpoint] = field(default_factory=dict)

    def accepting(self, service: str, stage: Stage | None = None) -> list[Endpoint]:
        """Return the endpoints of a service that take new work."""
        return [
            item
            for item in self.endpoints.values()
            if item.service == service
            and not item.leaving
            and (stage is None or item.stage is stage)
        ]

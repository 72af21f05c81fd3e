"""Types that adapters decode and that forwarding decisions are based on.

Times are in seconds, sizes in bytes and costs in tokens, unless a field says
otherwise.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

Headers = list[tuple[str, str]]


class RetryMode(Enum):
    """Which retries a route allows."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


class Stage(Enum):
    """Processing stage that a model endpoint serves."""

    PREFILL = "prefill"
    DECODE = "decode"


@dataclass(frozen=True, slots=True)
class Share:
    """Weighted share of a route's requests that one service gets."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """One route of the published configuration.

    Attributes:
        name: unique name.
        host: value of the Host header, without a port.
        prefix: prefix of the paths that it serves; begins and ends with a slash.
        repeat: which retries are allowed.
        timeout_s: longest time until the final response.
        target_s: time within which an answer is on time.
        priority: 0 is the most urgent.
        shares: services among which requests are split.
        max_attempts: most endpoints that may run one request.
        open: whether no key is needed.
        resumable: whether a stream may continue at another endpoint.
        gap_target_s: longest pause between two events that counts as on time.
        home_regions: regions whose endpoints may serve it; empty for any.
    """

    name: str
    host: str
    prefix: str
    repeat: RetryMode
    timeout_s: float
    target_s: float
    priority: int
    shares: tuple[Share, ...]
    max_attempts: int = 1
    open: bool = False
    resumable: bool = False
    gap_target_s: float | None = None
    home_regions: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class EngineProfile:
    """What the model endpoints of a service have in common.

    Attributes:
        slots: concurrent requests.
        memory_tokens: capacity of the KV cache in tokens.
        prefill_ttl_s: how long a prefilled prompt is kept until it is decoded.
        switch_s: duration of a stage change.
        hold_s: longest duration of a reservation.
        tokens_per_event: tokens per event of a stream; 0 if not published.
        backups: whether a run can be replicated to another endpoint as it grows.
    """

    slots: int
    memory_tokens: int
    prefill_ttl_s: float
    switch_s: float
    hold_s: float
    tokens_per_event: int = 0
    backups: bool = False


@dataclass(frozen=True, slots=True)
class Service:
    """One service of the published configuration.

    Attributes:
        name: unique name.
        max_connections: connections that an endpoint accepts from all callers.
        engine: set for services of model endpoints.
        cold_start_s: seconds for which an endpoint is cold after a start; 0 for never.
        cold_per_s: requests per second that a cold endpoint takes from all processes
            together; 0 for no limit.
    """

    name: str
    max_connections: int
    engine: EngineProfile | None = None
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Workspace:
    """A workspace with its keys and its rate limit.

    Attributes:
        name: unique name.
        keys: keys in force.
        priority: overrides the route's priority; None to keep it.
        rate: limit per second over all entries; 0 for no limit.
        burst: limit of a burst.
        counts_tokens: whether rate and burst are in tokens; else in requests.
        plain_cost: tokens charged for a request that states none.
        home_regions: regions whose endpoints may serve it; empty for any.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    rate: float = 0.0
    burst: float = 0.0
    counts_tokens: bool = True
    plain_cost: float = 1.0
    home_regions: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Published limits on a request's size and on how slowly it may arrive.

    The forwarding entry enforces only the two sizes; it limits the time of the body
    by a constant of its own.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class PublishedConfiguration:
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
        id: its id; usually new at each start.
        service: service that it belongs to.
        address: "IP:PORT".
        zone: its availability zone.
        leaving: whether it accepts no new requests.
        slots: concurrent requests.
        stage: its stage; set for model endpoints only.
        born_ms: Unix milliseconds of its start, as it reports itself.
        software: version of the software that it runs; "" if not stated.
        cold_left_s: seconds for which it stays cold, as of the writing of its document;
            None if not stated.
    """

    id: str
    service: str
    address: str
    zone: str
    leaving: bool
    slots: int
    stage: Stage | None = None
    born_ms: int = 0
    software: str = ""
    cold_left_s: float | None = None

    @property
    def incarnation(self) -> str:
        """Identifies one start of the endpoint, which may keep its id."""
        return incarnation(self.id, self.born_ms)


def incarnation(endpoint: str, born_ms: int) -> str:
    """Return what identifies one start of an endpoint."""
    return f"{endpoint}@{born_ms}"


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt, shared by the requests that name its id."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class PromptSize:
    """Sizes that a caller states of a prompt and its answer.

    Attributes:
        model: model name.
        prompt_tokens: tokens of the prompt.
        max_tokens: most tokens to generate.
        expected_tokens: the caller's estimate of the generated tokens, if any.
        parts: parts of the prompt in order.
    """

    model: str
    prompt_tokens: int
    max_tokens: int
    expected_tokens: int | None = None
    parts: tuple[PromptPart, ...] = ()


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """Parsed headers of a caller's request.

    Attributes:
        request_id: the caller's id of this attempt; "" if there is none.
        deadline_s: how long the caller waits; None if not stated.
        key: the caller's key; "" if there is none.
        prompt: sizes of the prompt; set for model requests only.
        last_event_id: event after which to resume a stream; "" for its start.
        resumes: the caller's id of the attempt that brought the first event of the
            stream to resume; "" if there is none.
    """

    request_id: str
    deadline_s: float | None
    key: str
    prompt: PromptSize | None
    last_event_id: str = ""
    resumes: str = ""


@dataclass(frozen=True, slots=True)
class Load:
    """Load that an endpoint reports with a response.

    Attributes:
        running: requests that it runs.
        waiting: requests that wait there.
        slots: concurrent requests.
        slowness: how long work takes there now, relative to the usual time (1.0);
            None if not stated.
    """

    running: int
    waiting: int
    slots: int
    slowness: float | None = None


@dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """Parsed headers of an endpoint's response.

    Attributes:
        request_id: id of the request that it answers; "" if not stated.
        ran: False if the endpoint states that it did not run the request.
        signed: whether the endpoint signed the response.
        load: the endpoint's load, if it reports it.
        encoded: whether the body has a content encoding, which is never requested.
        leaving: whether the endpoint states that it is about to leave.
        retry_after_s: seconds for which an endpoint that rejects a request wants no
            other one from this process; None if not stated.
        limit_per_s: requests per second that the endpoint takes from all processes
            together while it says so; None if it states no limit.
        cold_left_s: seconds for which the endpoint stays cold; None if not stated.
    """

    request_id: str
    ran: bool
    signed: bool
    load: Load | None = None
    encoded: bool = False
    leaving: bool = False
    retry_after_s: float | None = None
    limit_per_s: float | None = None
    cold_left_s: float | None = None


@dataclass(frozen=True, slots=True)
class EndpointInstructions:
    """What the entry tells an endpoint in addition to the caller's own headers.

    Attributes:
        deadline_s: time that the endpoint has for the request.
        endpoint: id of the endpoint that is addressed.
        workspace: workspace of the request; "" on open routes.
        priority: 0 to 9, where 0 is first; None for the endpoint's default.
        prefill_only: whether only the prompt is to be prefilled.
        cache_source: "IP:PORT/HANDLE" of the KV cache to import; "" for none.
        hold: id of the reservation to use; "" for none.
        last_event_id: event after which to resume a stream; "" for the caller's
            own.
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
class ControlResponse:
    """Response to a `ControlCall`.

    Attributes:
        status: HTTP status.
        headers: headers by name; names are looked up in any case.
        body: complete body.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class Prefilled:
    """A prefilled prompt that is kept at its endpoint until it is decoded."""

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
        stage: its current stage.
        busy: whether a stage change is in progress.
        orders: stage orders accepted since its start.
        waiting: number of waiting requests.
        running: number of running requests.
        memory_used: tokens of memory that can't be freed.
        memory_total: tokens of memory.
        held: reserved tokens.
        runs: the requests that it runs.
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


@dataclass(frozen=True, slots=True, order=True)
class StoreVersion:
    """Version of the store or of one document, ordered by era first.

    Attributes:
        era: how often the store came back from an older copy; 0 if it does not say.
        revision: revision within the era. A new era starts at an older revision and
            assigns the later ones again.
    """

    era: int = 0
    revision: int = 0


NO_VERSION = StoreVersion()  # before anything was read


@dataclass(frozen=True, slots=True)
class StoreDocument:
    """One document of the store.

    Attributes:
        path: key of the document.
        value: content; None for a removal.
        version: version of its last change.
    """

    path: str
    value: bytes | None
    version: StoreVersion


@dataclass(frozen=True, slots=True)
class StorePage:
    """A page of the store's documents, and the version that it is of."""

    documents: tuple[StoreDocument, ...]
    as_of: StoreVersion
    truncated: bool = False


@dataclass(slots=True)
class EndpointRegistry:
    """The endpoints that are in use.

    Attributes:
        endpoints: endpoints by id.
    """

    endpoints: dict[str, Endpoint] = field(default_factory=dict)

    def accepting(
        self, service: str, stage: Stage | None = None, software: str | None = None
    ) -> list[Endpoint]:
        """Return the endpoints of a service that accept new requests.

        Args:
            service: name of the service.
            stage: their stage; None for any.
            software: version of their software; None for any.
        """
        return [
            item
            for item in self.endpoints.values()
            if item.service == service
            and not item.leaving
            and (stage is None or item.stage is stage)
            and (software is None or item.software == software)
        ]

"""Messages of a fleet whose members discover each other from a few seed addresses.

The id of an instance is the address at which it receives messages, since a seed
is known by its address only.
"""

from enum import Enum

import msgspec

from ebonyglade.wire.base import Message


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """A member that the sender knows of.

    Attributes:
        address: address at which it receives messages.
        silent_s: seconds since the sender or another member last received a
            message from it.
        zone: its availability zone; "" if it is not known.
        capacity: see `FleetHeartbeat`.
        entry: whether the sender itself heard it, as an entry. Such a record is also
            sent when the entry fell silent, until the sender forgets it.
    """

    address: str
    silent_s: float
    zone: str = ""
    capacity: float = 0.0
    entry: bool = False


class StoreState(msgspec.Struct, frozen=True, array_like=True):
    """State of the sender's replica of the store.

    Attributes:
        as_of: store revision up to which the replica is complete.
        age_s: seconds since the replica was last known to be up to date; negative if
            it never was.
        era: era of the store that the revision belongs to.
        configuration: version of the configuration in force; the store may list an
            older one after it came back from an older copy.
        read_age_s: seconds since the store answered the sender's own last read;
            negative if it does not read or its last read failed.
        relist_s: seconds for which endpoints that are missing since an outage are
            still kept.
    """

    as_of: int = 0
    age_s: float = -1.0
    era: int = 0
    configuration: int = 0
    read_age_s: float = -1.0
    relist_s: float = 0.0


class LeavingRecord(msgspec.Struct, frozen=True, array_like=True):
    """An endpoint that told the sender that it leaves.

    Attributes:
        endpoint: id of the endpoint.
        era: era of its document that still says that it serves.
        revision: revision of that document.
    """

    endpoint: str
    era: int
    revision: int


class ColdRecord(msgspec.Struct, frozen=True, array_like=True):
    """For how long an endpoint is cold, as the sender assumes.

    Attributes:
        left_s: seconds for which it stays cold; 0 if it no longer is.
        since_s: seconds before which the statement was not made.
        known_s: seconds since the statement was known.
        repeated: whether a response stated it, so that members repeat it.
    """

    left_s: float
    since_s: float
    known_s: float
    repeated: bool = False


class LimitRecord(msgspec.Struct, frozen=True, array_like=True):
    """What an endpoint stated of the requests that it takes from all processes.

    Attributes:
        endpoint: the endpoint's incarnation.
        per_s: requests per second; None if it no longer states a limit.
        age_s: seconds since it stated so.
        cold: for how long it is cold; None if it is not.
    """

    endpoint: str
    per_s: float | None
    age_s: float
    cold: ColdRecord | None = None


class LoadRecord(msgspec.Struct, frozen=True, array_like=True):
    """Load that an endpoint stated to an entry.

    Attributes:
        key: see `load_key`.
        busy: requests that ran or waited there.
        slowness_percent: how long work takes there, in percent of the usual time; 0 if
            it did not say so.
        age_ms: milliseconds since it stated so.
        duration_percent: how long the sender's newest request took there, in percent of
            the expected time; 0 if it has none to tell.
    """

    key: int
    busy: int
    slowness_percent: int
    age_ms: int
    duration_percent: int = 0


class BrokenRunRecord(msgspec.Struct, frozen=True, array_like=True):
    """A run that broke off, perhaps because its endpoint crashed.

    Attributes:
        endpoint: the endpoint's incarnation.
        request: fingerprint of the request.
        age_s: seconds since it broke off.
        parts: keys of the parts of its prompt that other requests may share.
        prefill: whether the endpoint only prefilled the prompt.
    """

    endpoint: str
    request: str
    age_s: float
    parts: list[str] = []
    prefill: bool = False


class AnswerRecord(msgspec.Struct, frozen=True, array_like=True):
    """A whole answer to a request, or to one with a part, of broken runs.

    Attributes:
        subject: fingerprint of the request, or key of the part.
        age_s: seconds since the answer was complete.
    """

    subject: str
    age_s: float


class EvidenceRecords(msgspec.Struct, frozen=True, array_like=True):
    """Evidence for and against requests that may crash endpoints."""

    runs: list[BrokenRunRecord] = []
    answers: list[AnswerRecord] = []


class EngineState(msgspec.Struct, frozen=True, array_like=True):
    """State of a model endpoint, as reported by the agent beside it.

    Attributes:
        endpoint: id of the endpoint.
        free_tokens: tokens of KV cache memory that are neither used nor reserved.
        running: number of running requests.
        waiting: number of waiting requests.
        age_s: age of the report in seconds.
        changing: whether the endpoint is switching to its other stage.
        born_ms: Unix milliseconds of the endpoint's start; 0 if not known.
        queued: requests that wait for its memory at the agent.
    """

    endpoint: str
    free_tokens: int
    running: int
    waiting: int
    age_s: float
    changing: bool = False
    born_ms: int = 0
    queued: int = 0


class FleetHeartbeat(Message, tag="Beat"):
    """Heartbeat, sent at a fixed interval to the members that the sender speaks to.

    Attributes:
        sent_at: time by the sender's clock; the receiver returns it as `echo`.
        echo: newest `sent_at` that the sender got from the receiver; negative if
            none.
        entry: whether the sender accepts callers' requests.
        zone: the sender's availability zone.
        members: members that the sender knows of, in some of the heartbeats.
        store: state of the sender's replica of the store.
        spent: tokens that the sender admitted since its start, by workspace.
        partial: whether `spent` has only the workspaces whose totals changed lately.
        engine: state of the endpoint beside the sender, if it has one.
        evidence: evidence of requests that crash endpoints; None if there is none to
            tell.
        leaving: endpoints that told the sender that they leave.
        capacity: rate of the sender's network link in Mbit/s; 0 if not known.
        zoned: whether the sender understands `ZoneReports`, so that in a large fleet
            it needs no heartbeats from members of other zones.
        limits: limits of the endpoints whose permits the sender grants.
        permits: whether the sender can grant permits, see `PermitRequest`.
        origins: whether the sender keeps streams, see `StreamBegun`.
        loads: loads that endpoints stated to the sender since its last heartbeat.
        entries: largest number of entries that the sender counted itself lately; 0 of
            one that grants no retries, see `RetryRequest`.
    """

    sent_at: float
    echo: float = -1.0
    entry: bool = False
    zone: str = ""
    members: list[MemberRecord] = []
    store: StoreState = StoreState()
    spent: dict[str, float] = {}
    engine: EngineState | None = None
    evidence: EvidenceRecords | None = None
    leaving: list[LeavingRecord] = []
    partial: bool = False
    capacity: float = 0.0
    zoned: bool = False
    limits: list[LimitRecord] = []
    permits: bool = False
    origins: bool = False
    loads: list[LoadRecord] = []
    entries: int = 0


class EngineRecord(msgspec.Struct, frozen=True, array_like=True):
    """State of a model endpoint, and the address of the agent that reported it."""

    agent: str
    state: EngineState


class ZoneReport(msgspec.Struct, frozen=True, array_like=True):
    """What one member reports of all members of its availability zone.

    Attributes:
        zone: the availability zone.
        reporter: address of the member that made the report.
        incarnation: incarnation of that member; its numbers and totals start anew
            with each.
        number: number of the report; increases with each one.
        age_s: seconds since the report was made.
        members: number of members of the zone.
        entries: number of entries among them.
        silent: number of further entries of the zone that the reporter does not hear
            and that may still serve callers.
        reporters: addresses of the members that report for the zone, the first one
            and those that replace it.
        spent: tokens that the entries of the zone admitted since the reporter's
            start, by workspace.
        partial: whether the report has only the workspaces whose totals changed
            lately, and nothing else.
        engines: states of the model endpoints in the zone.
        crashes: not used any more; older builds send counts.
        leaving: endpoints that told a member of the zone that they leave.
        complete: whether `spent` has all workspaces.
        evidence: evidence of requests that crash endpoints; None if there is none to
            tell.
        limits: limits of endpoints of the zone, if the reporter grants their permits.
        permit_owner: address of the member that grants the permits of the zone's
            endpoints; "" if none can.
        loads: loads that endpoints stated lately to entries of the zone.
    """

    zone: str
    reporter: str
    incarnation: str
    number: int
    age_s: float
    members: int = 0
    entries: int = 0
    reporters: list[str] = []
    spent: dict[str, float] = {}
    partial: bool = False
    engines: list[EngineRecord] = []
    crashes: dict[str, int] = {}
    leaving: list[LeavingRecord] = []
    complete: bool = False
    silent: int = 0
    evidence: EvidenceRecords | None = None
    limits: list[LimitRecord] = []
    permit_owner: str = ""
    loads: list[LoadRecord] = []


class EvidenceNotice(Message):
    """Evidence that blocks requests, for a process that was just started."""

    evidence: EvidenceRecords


class ZoneReports(Message):
    """Reports of other zones, or the sender's report of its own zone."""

    reports: list[ZoneReport] = []


class ShutdownNotice(Message, tag="Farewell"):
    """The sender is about to stop and admits no more tokens."""


class TokensAdmitted(Message, tag="Spent"):
    """Tokens of one workspace that the sender admitted since its start.

    It is sent at once for large requests, so that others need not wait for the
    next `FleetHeartbeat`.
    """

    workspace: str
    total: float


class RateLevel(msgspec.Struct, frozen=True, array_like=True):
    """Tokens that are left in one workspace's token bucket.

    Attributes:
        workspace: name of the workspace.
        level: tokens left; negative if too many were admitted.
        counted: tokens that the receiver admitted since its start and that `level`
            already includes.
    """

    workspace: str
    level: float
    counted: float


class RateLevelsRequest(Message, tag="RateLevelsAsk"):
    """Requests an entry's token bucket levels, after the sender has started."""


class RateLevels(Message):
    """Levels of the token buckets that are not full; all others are full."""

    levels: list[RateLevel] = []


class RefusalNotice(Message, tag="Refused"):
    """The sender refused a request that did not run and may be repeated.

    Attributes:
        fingerprint: fingerprint of the request, which its repeats share.
        since_s: seconds since its caller first sent the request.
        relay: whether the receiver passes it on to the entries of its zone.
    """

    fingerprint: str
    since_s: float
    relay: bool = False


class LimitNotice(Message):
    """Endpoints told the sender another limit, or none any more.

    Attributes:
        records: what they stated.
        relay: whether the receiver passes it on to the entries of its zone.
    """

    records: list[LimitRecord]
    relay: bool = False


class PermitRequest(Message):
    """Asks for a permit to send one request to an endpoint that states a limit.

    Attributes:
        ask: id of this message, which the response repeats.
        limit: what the sender knows of the endpoint's limit.
        max_wait_s: longest time that the sender would wait for the permit.
    """

    ask: str
    limit: LimitRecord
    max_wait_s: float = 0.0


class PermitResponse(Message):
    """Answer to a `PermitRequest`.

    Attributes:
        ask: id of the message that it answers.
        granted: whether the request may be sent.
        wait_s: seconds after which it may be sent, or after which a permit is free.
    """

    ask: str
    granted: bool
    wait_s: float = 0.0


class RetryRequest(Message):
    """Asks for one retry from the slack that the receiver grants.

    Attributes:
        ask: id of this message, which the response repeats.
        service: service of the request that is to be sent once more.
    """

    ask: str
    service: str


class RetryResponse(Message):
    """Answer to a `RetryRequest`.

    Attributes:
        ask: id of the message that it answers.
        granted: whether the retry may be sent.
    """

    ask: str
    granted: bool


class RetryReturned(Message):
    """The sender has not used a retry that the receiver granted.

    Attributes:
        service: service that it was granted for.
    """

    service: str


class StreamBegun(Message):
    """An endpoint wrote the first event of a stream that may be taken up.

    Attributes:
        stream: key of the stream, see `stream_key` and `content_key`.
        software: version of the endpoint's software; None for several versions, of
            streams with the same request.
        by_content: whether the key is that of all streams with the same request.
        age_s: seconds since then.
    """

    stream: str
    software: str | None
    by_content: bool = False
    age_s: float = 0.0


class QueryScope(Enum):
    """Who is asked by a query, and who answers it."""

    MEMBER = "member"  # the receiver, which answers in any case
    ZONE = "zone"  # the receiver's zone; it passes the query on if it does not know
    RELAYED = "relayed"  # the receiver, which answers only if it knows


class OriginQuery(Message):
    """Asks which software version began a stream.

    Attributes:
        ask: id of the search, which answers repeat.
        stream: key of the stream.
        asker: address of the process that asks.
        scope: who is asked.
        service: name of the service whose versions are asked for, too; "" for none.
        lately_s: seconds within which the stream began.
    """

    ask: str
    stream: str
    asker: str
    scope: QueryScope = QueryScope.MEMBER
    service: str = ""
    lately_s: float = 0.0


class OriginAnswer(Message):
    """Answer to an `OriginQuery`.

    Attributes:
        ask: id of the search.
        software: version that began the stream; None if the sender does not know.
        listed: versions that the service was listed with within the time asked for.
        complete: not used any more; older builds send it.
        covered: seconds ago from which and until which the sender missed none of them;
            None if it does not say.
    """

    ask: str
    software: str | None = None
    listed: list[str] = []
    complete: bool = False
    covered: tuple[float, float] | None = None


class MemoryRequest(Message, tag="RoomAsk"):
    """Asks the agent beside a model endpoint to reserve capacity for one request.

    Attributes:
        ask: id of this message, which the answer repeats.
        endpoint: id of the endpoint.
        request: id of the request.
        prompt_tokens: tokens of the prompt.
        answer_tokens: expected tokens of the answer.
        priority: priority, where 0 is the most urgent.
        late: whether the request can no longer be answered on time.
        waited_s: seconds since the request arrived.
        workspace: workspace of the request; "" if it has none.
        weight: share of the workspace in proportion to others; 0 if not stated.
        queue: whether the agent may queue the request and grant the memory later,
            with another `GrantResponse` for the same `ask`.
    """

    ask: str
    endpoint: str
    request: str
    prompt_tokens: int
    answer_tokens: int
    priority: int = 0
    late: bool = False
    waited_s: float = 0.0
    workspace: str = ""
    weight: float = 0.0
    queue: bool = False


class GrantResponse(Message, tag="RoomAnswer"):
    """Answer of an agent to a `MemoryRequest` or `PrefillLeaseRequest`.

    Granted capacity expires if the request does not arrive.

    Attributes:
        ask: id of the message that it answers.
        granted: whether the capacity, or the prefill lease, is granted.
        queued: whether the request is queued; the grant is sent when it is its turn.
        wait_s: expected seconds until then; negative if not known.
    """

    ask: str
    granted: bool
    queued: bool = False
    wait_s: float = -1.0


class MemoryRelease(Message, tag="RoomDrop"):
    """Returns granted capacity that is no longer needed, or leaves the queue.

    Attributes:
        request: id of the request.
        unused: whether the request did not run, so that its workspace is not charged.
        rejected: whether the endpoint rejected it although memory was granted.
    """

    request: str
    unused: bool = False
    rejected: bool = False


class PrefillLeaseRequest(Message, tag="TurnAsk"):
    """Asks for the lease to prefill a prompt at a decode endpoint.

    The decode endpoint then computes the prompt instead of a prefill endpoint.

    The answer is a `GrantResponse`.

    Attributes:
        ask: id of this message, which the answer repeats.
        request: id of the request.
    """

    ask: str
    request: str


class PrefillLeaseRelease(Message, tag="TurnDone"):
    """Releases a granted prefill lease, as the decode endpoint finished the prefill."""

    request: str


MESSAGES = (
    FleetHeartbeat,
    ZoneReports,
    EvidenceNotice,
    ShutdownNotice,
    TokensAdmitted,
    RateLevelsRequest,
    RateLevels,
    RefusalNotice,
    LimitNotice,
    PermitRequest,
    PermitResponse,
    RetryRequest,
    RetryResponse,
    RetryReturned,
    StreamBegun,
    OriginQuery,
    OriginAnswer,
    MemoryRequest,
    GrantResponse,
    MemoryRelease,
    PrefillLeaseRequest,
    PrefillLeaseRelease,
)

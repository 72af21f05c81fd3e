"""Messages of a fleet that finds itself from a few seed addresses.

Instances are named by the address at which they take messages, since seeds tell
no more than that.
"""

import msgspec

from ebonyglade.wire.base import Message


class KnownMember(msgspec.Struct, frozen=True, array_like=True):
    """A member that the sender heard of.

    Attributes:
        address: where it takes messages.
        silent_s: seconds since it was last heard, directly or by others.
    """

    address: str
    silent_s: float


class StoreState(msgspec.Struct, frozen=True, array_like=True):
    """How far the sender's copy of the store goes.

    Attributes:
        as_of: store revision up to which it is complete.
        age_s: seconds since it was last known to be so; negative if never.
    """

    as_of: int = 0
    age_s: float = -1.0


class EngineState(msgspec.Struct, frozen=True, array_like=True):
    """State of a model endpoint, as the agent beside it sees it.

    Attributes:
        endpoint: its id.
        free_tokens: tokens of memory that are neither used nor reserved.
        running: requests that run.
        waiting: requests that wait.
        age_s: age of the report.
        changing: whether it changes to its other stage.
    """

    endpoint: str
    free_tokens: int
    running: int
    waiting: int
    age_s: float
    changing: bool = False


class Beat(Message):
    """Sent to every member at a steady pace.

    Attributes:
        sent_at: the sender's clock, echoed by the receiver.
        echo: the newest `sent_at` that the sender has from the receiver;
            negative if there is none.
        entry: whether the sender takes callers' requests.
        zone: the sender's availability zone.
        members: whom the sender knows.
        store: how far its copy of the store goes.
        spent: tokens admitted since its start, by workspace.
        engine: state of the endpoint beside the sender, if it has one.
        crashes: fingerprints of requests that endpoints crashed under, with
            the crashes that the sender saw itself.
    """

    sent_at: float
    echo: float = -1.0
    entry: bool = False
    zone: str = ""
    members: list[KnownMember] = []
    store: StoreState = StoreState()
    spent: dict[str, float] = {}
    engine: EngineState | None = None
    crashes: dict[str, int] = {}


class CopyDocument(msgspec.Struct, frozen=True, array_like=True):
    """One document of the store."""

    path: str
    value: bytes
    revision: int


class CopyAsk(Message):
    """Asks for what changed in the store after a revision."""

    after: int
    sent_at: float


class CopyAnswer(Message):
    """A member's copy of the store.

    Attributes:
        sent_at: of the ask, by the asker's clock.
        as_of: revision up to which the copy is complete.
        age_s: seconds since it was last known to be so.
        paths: all documents that exist.
        changed: the documents that changed after the asked revision.
    """

    sent_at: float
    as_of: int
    age_s: float
    paths: list[str] = []
    changed: list[CopyDocument] = []


class Farewell(Message):
    """The sender is about to end and spends nothing more."""


class Spent(Message):
    """What the sender admitted of one workspace since its start.

    Sent at once for large requests, so that others need not wait for a beat.
    """

    workspace: str
    total: float


class RateLevel(msgspec.Struct, frozen=True, array_like=True):
    """Tokens left of one workspace's rate.

    Attributes:
        workspace: its name.
        level: tokens left; negative where too much was admitted.
        counted: what the receiver admitted since its start, as far as it is in it.
    """

    workspace: str
    level: float
    counted: float


class RateLevelsAsk(Message):
    """Asks an entry for its levels, as the sender has just started."""


class RateLevels(Message):
    """The workspaces whose rate is not left in full; all others are."""

    levels: list[RateLevel] = []


class Refused(Message):
    """The sender refused a request that did not run and may come back.

    Attributes:
        fingerprint: what it has in common with its repeats.
        since_s: seconds since its caller asked for the first time.
    """

    fingerprint: str
    since_s: float


class RoomAsk(Message):
    """Asks the agent beside a model endpoint for room for one request.

    Attributes:
        ask: id of the ask, echoed in the answer.
        endpoint: id of the endpoint that is meant.
        request: id of the request.
        prompt_tokens: tokens to read.
        answer_tokens: tokens that its answer is expected to have.
        priority: rank, where 0 is the most urgent.
        late: whether it can't be answered on time any more.
        waited_s: seconds since it arrived.
    """

    ask: str
    endpoint: str
    request: str
    prompt_tokens: int
    answer_tokens: int
    priority: int = 0
    late: bool = False
    waited_s: float = 0.0


class RoomAnswer(Message):
    """The agent's answer; what it granted lapses if the request does not come.

    Attributes:
        ask: id of the ask.
        granted: whether there is room.
    """

    ask: str
    granted: bool


class RoomDrop(Message):
    """Gives room back that was granted and is not needed any more."""

    request: str


class TurnAsk(Message):
    """Asks for the turn to have a prompt read by a decode endpoint itself.

    It is answered by a `RoomAnswer`.

    Attributes:
        ask: id of the ask, echoed in the answer.
        request: id of the request.
    """

    ask: str
    request: str


class TurnDone(Message):
    """Tells that the prompt of a turn was read."""

    request: str


MESSAGES = (
    Beat,
    CopyAsk,
    CopyAnswer,
    Farewell,
    Spent,
    RateLevelsAsk,
    RateLevels,
    Refused,
    RoomAsk,
    RoomAnswer,
    RoomDrop,
    TurnAsk,
    TurnDone,
)

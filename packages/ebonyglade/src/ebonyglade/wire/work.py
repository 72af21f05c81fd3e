"""Messages about requests in progress."""

from typing import Literal

from ebonyglade.wire.base import Message


class Reserve(Message, frozen=True):
    """Asks a decode agent for a slot and memory.

    Attributes:
        attempt: id of the attempt.
        workspace: workspace for which the work is done.
        pieces: KV pieces (blocks of the KV cache) needed.
        within: seconds for which the sender can wait for the slot.
        weight: fair-share weight of the workspace.
        priority: smaller values go first.
        tokens: most tokens of prompt and answer together.
        output: most tokens of the answer.
        lead: seconds from the start of the prefill until the sender uses the slot;
            zero if the slot must be held before anything starts.
        patient: whether the work waits behind work that is not patient.
        places: number of agents at which the sender waits at the same time.
        whole: whether `within` covers the whole work and not only the wait.
        isolated: whether no other isolated work may run at the same time.
    """

    attempt: str
    workspace: str
    pieces: int
    within: float
    weight: float = 1.0
    priority: int = 0
    tokens: int = 1
    output: int = 0
    lead: float = 0.0
    patient: bool = False
    places: int = 1
    whole: bool = False
    isolated: bool = False


class Reserved(Message, frozen=True):
    """A slot is expected in `ready_in` seconds; the lease is held for `term`.

    Once `ready_in` is at most the `lead` of the `Reserve`, the slot is promised and
    the receiver starts its work; until then the reservation waits in the queue. A
    `ServiceRequest` under this reservation must carry its `grant`.
    """

    attempt: str
    ready_in: float
    term: float
    grant: str = ""


class Prefill(Message, frozen=True):
    """Asks a prefill agent to compute a prompt's KV cache.

    `within` is the time that the sender waits for the result, in seconds.
    """

    attempt: str
    workspace: str
    model: str
    prompt: str
    within: float
    priority: int = 0
    fingerprint: str = ""
    weight: float = 1.0
    tokens: int = 1


class Prefilled(Message, frozen=True):
    """The KV cache is ready for export.

    Attributes:
        attempt: id of the attempt.
        source: the engine that exports the KV cache.
        handle: id of the export at that engine.
        tokens: tokens of the prompt.
        cached: prompt tokens that were found in the prefix cache.
    """

    attempt: str
    source: str
    handle: str
    tokens: int
    cached: int = 0


class Decode(Message, frozen=True):
    """Asks a decode agent to generate an answer in a reserved slot.

    `source` and `handle` come from the `Prefilled`. `resume` holds the tokens of the
    answer that the sender already has, and `within` the seconds left until the
    deadline.
    """

    attempt: str
    workspace: str
    model: str
    prompt: str
    source: str
    handle: str
    max_tokens: int
    within: float
    resume: list[str] = []
    priority: int = 0
    fingerprint: str = ""


class Chunk(Message, frozen=True):
    """Tokens of an answer; `index` is the position of the first of them."""

    attempt: str
    index: int
    tokens: list[str]


class DecodeDone(Message, frozen=True, tag="Done"):
    """An answer is complete and has `total` tokens."""

    attempt: str
    total: int


class FlowCredit(Message, frozen=True, tag="Credit"):
    """Flow control: lets the receiver send chunks up to token `upto`."""

    attempt: str
    upto: int


class ServiceRequest(Message, frozen=True, tag="Serve"):
    """Asks a service agent to make one HTTP call to its endpoint."""

    attempt: str
    workspace: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    within: float
    key: str = ""
    fingerprint: str = ""
    grant: str = ""


class ServiceResponse(Message, frozen=True, tag="Served"):
    """The endpoint's answer to a `ServiceRequest`."""

    attempt: str
    status: int
    headers: list[tuple[str, str]]
    body: bytes


class Failed(Message, frozen=True):
    """An attempt failed.

    Attributes:
        attempt: id of the attempt.
        code: a code of `ebonyglade.verdict.REFUSALS`.
        verdict: value of `ebonyglade.verdict.Verdict`.
        reason: one sentence of explanation.
        retry_after: seconds after which to retry.
    """

    attempt: str
    code: str
    verdict: Literal["not_run", "may_have_run", "ran"]
    reason: str = ""
    retry_after: float | None = None


class Cancel(Message, frozen=True):
    """Cancels an attempt and releases what it holds."""

    attempt: str


class Renew(Message, frozen=True):
    """Renews the leases of these attempts."""

    attempts: list[str]


MESSAGES = (
    Reserve,
    Reserved,
    Prefill,
    Prefilled,
    Decode,
    Chunk,
    DecodeDone,
    FlowCredit,
    ServiceRequest,
    ServiceResponse,
    Failed,
    Cancel,
    Renew,
)

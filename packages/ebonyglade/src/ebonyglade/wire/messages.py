"""Typed messages between the system's own processes.

Every field added later has a default, so that fleets of mixed versions
understand each other; a message type that a process does not know is counted
and dropped by the codec.
"""

from typing import Literal

import msgspec


class Message(msgspec.Struct, frozen=True, tag_field="t", omit_defaults=True):
    """Base of all messages; the class name is the tag on the wire."""


class Ping(Message, frozen=True):
    """Heartbeat: asks for a `Pong` and tells the newest revision seen."""

    seq: int
    revision: int = 0


class Pong(Message, frozen=True):
    """Answer to a `Ping`."""

    seq: int
    revision: int = 0


class ConfigAsk(Message, frozen=True):
    """Asks for all configuration newer than `since`."""

    since: int


class ConfigItem(msgspec.Struct, frozen=True, array_like=True):
    """One path as published: its revision and TOML text."""

    path: str
    revision: int
    value: str


class ConfigPush(Message, frozen=True):
    """Hands on configuration between two revisions.

    Attributes:
        since: the items are complete for all changes after this revision.
        revision: newest revision that the sender has.
        items: newest published value of each changed path.
        removed: paths removed after `since`, with the revision of removal.
        good: last valid value of each path whose newest value is invalid.
    """

    since: int
    revision: int
    items: list[ConfigItem] = []
    removed: list[tuple[str, int]] = []
    good: list[ConfigItem] = []


class Reserve(Message, frozen=True):
    """Asks a decode agent for a slot and memory.

    Attributes:
        attempt: id of the attempt.
        workspace: who it is for.
        pieces: KV pieces needed.
        within: seconds that the asker can wait for the slot.
        weight: fair-share weight of the workspace.
        priority: smaller is sooner.
    """

    attempt: str
    workspace: str
    pieces: int
    within: float
    weight: float = 1.0
    priority: int = 0


class Reserved(Message, frozen=True):
    """A slot is promised: it is free in `ready_in` seconds, held for `term`."""

    attempt: str
    ready_in: float
    term: float


class Prefill(Message, frozen=True):
    """Asks a prefill agent to compute a prompt's KV cache."""

    attempt: str
    workspace: str
    model: str
    prompt: str
    within: float
    priority: int = 0
    fingerprint: str = ""


class Prefilled(Message, frozen=True):
    """The KV cache is ready for export."""

    attempt: str
    source: str
    handle: str
    tokens: int
    cached: int = 0


class Decode(Message, frozen=True):
    """Asks a decode agent to generate an answer in a reserved slot."""

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
    """Tokens of an answer; `index` is the position of the first one."""

    attempt: str
    index: int
    tokens: list[str]


class Done(Message, frozen=True):
    """An answer is complete and has `total` tokens."""

    attempt: str
    total: int


class Credit(Message, frozen=True):
    """Lets the sender of chunks go on up to token `upto`."""

    attempt: str
    upto: int


class Serve(Message, frozen=True):
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


class Served(Message, frozen=True):
    """The endpoint's answer to a `Serve`."""

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
        reason: one sentence.
        retry_after: seconds after which a new try makes sense.
    """

    attempt: str
    code: str
    verdict: Literal["not_run", "may_have_run", "ran"]
    reason: str = ""
    retry_after: float | None = None


class Cancel(Message, frozen=True):
    """Ends an attempt and frees what it holds."""

    attempt: str


class Renew(Message, frozen=True):
    """Renews the leases of these attempts."""

    attempts: list[str]


class Load(Message, frozen=True):
    """An agent's load as told to the entries that use it.

    Attributes:
        running: jobs in the engine.
        waiting: jobs queued at the agent.
        slots: most jobs that the engine takes.
        free_pieces: free KV pieces.
        draining: whether new work is refused.
    """

    running: int
    waiting: int
    slots: int
    free_pieces: int
    draining: bool = False


class Leaving(Message, frozen=True):
    """The sender stops soon and takes no new work."""


AnyMessage = (
    Ping
    | Pong
    | ConfigAsk
    | ConfigPush
    | Reserve
    | Reserved
    | Prefill
    | Prefilled
    | Decode
    | Chunk
    | Done
    | Credit
    | Serve
    | Served
    | Failed
    | Cancel
    | Renew
    | Load
    | Leaving
)

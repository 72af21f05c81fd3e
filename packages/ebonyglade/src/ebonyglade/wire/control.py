"""Messages about processes and configuration."""

import msgspec

from ebonyglade.wire.base import Message


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


class Load(Message, frozen=True):
    """An agent's load as told to the entries that use it.

    Attributes:
        running: jobs in the engine.
        waiting: jobs queued at the agent.
        slots: most jobs that the engine takes.
        free_pieces: free KV pieces.
        draining: whether new work is refused.
        ready_in: seconds until one more job could start.
        interval: mean seconds between two jobs that end.
        prefill_token_s: seconds of prefill for a token; zero if unknown.
        transfer_token_s: seconds of transfer for a token; zero if unknown.
    """

    running: int
    waiting: int
    slots: int
    free_pieces: int
    draining: bool = False
    ready_in: float = 0.0
    interval: float = 0.0
    prefill_token_s: float = 0.0
    transfer_token_s: float = 0.0


class Leaving(Message, frozen=True):
    """The sender stops soon and takes no new work."""


MESSAGES = (
    Ping,
    Pong,
    ConfigAsk,
    ConfigPush,
    Load,
    Leaving,
)

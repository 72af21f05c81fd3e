"""Messages about processes and configuration."""

import msgspec

from ebonyglade.wire.base import Message


class Ping(Message, frozen=True):
    """Heartbeat: asks for a `Pong` and tells the newest revision seen.

    Attributes:
        seq: number of the sender's round of heartbeats.
        revision: newest revision that the sender has.
        follow: whether the sender wants to be told of new revisions.
        deaf: whether the sender has heard nothing for too long, so that the
            receiver should answer over a new connection.
    """

    seq: int
    revision: int = 0
    follow: bool = False
    deaf: bool = False


class Pong(Message, frozen=True):
    """Answer to a `Ping`.

    Attributes:
        seq: the `seq` of the `Ping`.
        revision: newest revision that the sender has.
        stale: whether the sender has not confirmed its configuration since its
            start or a pause.
    """

    seq: int
    revision: int = 0
    stale: bool = False


class ConfigNews(Message, frozen=True):
    """Tells a follower that a newer revision is here."""

    revision: int


class ConfigAsk(Message, frozen=True):
    """Asks for all configuration newer than `since`.

    Attributes:
        since: newest revision that the asker has.
        invalid: paths whose newest value is invalid, each with the revision of
            the last valid one that the asker knows; zero if none.
    """

    since: int
    invalid: list[tuple[str, int]] = []


class ConfigItem(msgspec.Struct, frozen=True, array_like=True):
    """One path as published: its revision and TOML text."""

    path: str
    revision: int
    value: str


class ConfigPush(Message, frozen=True):
    """Hands on configuration between two revisions.

    Attributes:
        since: the items are complete for all changes after this revision.
        revision: revision up to which the items are complete.
        items: newest published value of each changed path.
        removed: paths removed after `since`, with the revision of removal.
        good: last valid value of paths whose newest value is invalid.
        newest: newest revision that the sender has; more follows on a further
            `ConfigAsk` while it is above `revision`.
        paths: all paths that exist at `newest`, where the sender can't tell
            every removal after `since`; others are gone. None otherwise.
    """

    since: int
    revision: int
    items: list[ConfigItem] = []
    removed: list[tuple[str, int]] = []
    good: list[ConfigItem] = []
    newest: int = 0
    paths: list[str] | None = None


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
    ConfigNews,
    ConfigAsk,
    ConfigPush,
    Load,
    Leaving,
)

"""Messages about processes and configuration."""

import msgspec

from ebonyglade.wire.base import Message


class Ping(Message, frozen=True):
    """Heartbeat, which requests a `Pong` and carries the newest known revision.

    Attributes:
        seq: sequence number of the sender's round of heartbeats.
        revision: newest configuration revision that the sender has.
        follow: whether the sender wants to be notified of new revisions.
        deaf: whether the sender has received nothing from the receiver for too
            long, so that the receiver should answer over a new connection.
    """

    seq: int
    revision: int = 0
    follow: bool = False
    deaf: bool = False


class Pong(Message, frozen=True):
    """Answer to a `Ping`.

    Attributes:
        seq: the `seq` of the `Ping`.
        revision: newest configuration revision that the sender has.
        stale: whether the sender has not confirmed its configuration since it
            started or was paused.
    """

    seq: int
    revision: int = 0
    stale: bool = False


class RevisionNotice(Message, frozen=True, tag="ConfigNews"):
    """Notifies a follower that the sender has a newer configuration revision."""

    revision: int


class ConfigRequest(Message, frozen=True, tag="ConfigAsk"):
    """Requests all configuration newer than `since`.

    Attributes:
        since: newest revision that the sender has.
        invalid: paths whose newest value is invalid, each with the revision of
            the last valid value that the sender has; zero if none.
    """

    since: int
    invalid: list[tuple[str, int]] = []


class ConfigItem(msgspec.Struct, frozen=True, array_like=True):
    """One published path with its revision and TOML text."""

    path: str
    revision: int
    value: str


class ConfigUpdate(Message, frozen=True, tag="ConfigPush"):
    """Configuration changes between two revisions.

    Attributes:
        since: the items are complete for all changes after this revision.
        revision: revision up to which the items are complete.
        items: newest published value of each changed path.
        removed: paths removed after `since`, with the revision of removal.
        good: last valid value of paths whose newest value is invalid.
        newest: newest revision that the sender has; while it is above `revision`,
            a further `ConfigRequest` returns more.
        paths: all paths that exist at `newest`, if the sender does not know every
            removal after `since`; all other paths are removed. None otherwise.
    """

    since: int
    revision: int
    items: list[ConfigItem] = []
    removed: list[tuple[str, int]] = []
    good: list[ConfigItem] = []
    newest: int = 0
    paths: list[str] | None = None


class LoadReport(Message, frozen=True, tag="Load"):
    """Load of an agent, reported to the entries that use it.

    Attributes:
        running: jobs in the engine.
        waiting: jobs that are queued at the agent.
        slots: maximum number of jobs in the engine.
        free_pieces: free KV pieces.
        draining: whether new work is refused.
        ready_in: seconds until one more job could start.
        interval: mean seconds between two jobs that end.
        prefill_token_s: seconds of prefill per token; zero if unknown.
        transfer_token_s: seconds of KV cache transfer per token; zero if unknown.
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
    """The sender will stop soon and accepts no new work."""


MESSAGES = (
    Ping,
    Pong,
    RevisionNotice,
    ConfigRequest,
    ConfigUpdate,
    LoadReport,
    Leaving,
)

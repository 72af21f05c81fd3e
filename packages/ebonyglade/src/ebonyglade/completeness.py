"""What counts as a complete response; the only place that decides it.

The table is on the page docs/design/answers.md.
"""

from enum import Enum


class Framing(Enum):
    """What marks the end of a body."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"  # it ends when its connection is closed


class Ending(Enum):
    """How a body ended."""

    AS_FRAMED = "as_framed"
    EARLY = "early"  # the connection was closed before the end that the framing marks
    RESET = "reset"  # the connection failed
    LATE = "late"  # its time limit passed
    LIMIT = "limit"  # it was larger than a limit
    NO_MEMORY = "no_memory"  # this process had no memory left for it


class Content(Enum):
    """What a body holds."""

    DOCUMENT = "document"  # of any size, also empty
    WHOLE_EVENTS = "whole_events"
    UNFINISHED_EVENT = "unfinished_event"  # after any number of whole ones
    NO_EVENTS = "no_events"  # although the response is a stream


_NEVER: frozenset[Framing] = frozenset()
_ALWAYS = frozenset(Framing)

# The framings that prove a body complete if it ended as framed. An endpoint that
# crashes before its first event sends an empty stream that ends with its connection.
_PROVING_FRAMINGS = {
    Content.DOCUMENT: _ALWAYS,
    Content.WHOLE_EVENTS: _ALWAYS,
    Content.UNFINISHED_EVENT: _NEVER,
    Content.NO_EVENTS: frozenset({Framing.LENGTH, Framing.CHUNKS}),
}

# What is left of a response whose endpoint crashed. The other causes say that somebody
# gave up waiting or that a limit was reached.
_CRASH_CAUSES = frozenset(
    {Ending.EARLY, Ending.RESET, Content.UNFINISHED_EVENT, Content.NO_EVENTS}
)


class IncompleteResponse(Exception):
    """A response ended before it was complete.

    Attributes:
        cause: why it counts as incomplete, for logs and counters.
    """

    def __init__(self, reason: str, cause: Ending | Content = Ending.EARLY) -> None:
        super().__init__(reason)
        self.cause = cause

    @property
    def may_be_crash(self) -> bool:
        """Whether the response may have ended because its endpoint crashed."""
        return self.cause in _CRASH_CAUSES


def is_complete(framing: Framing, ending: Ending, content: Content) -> bool:
    """Return whether a body is complete."""
    return ending is Ending.AS_FRAMED and framing in _PROVING_FRAMINGS[content]

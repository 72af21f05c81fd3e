"""How the body of a response is framed, and how it ended."""

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


class IncompleteResponse(Exception):
    """A response ended before it was complete.

    Attributes:
        ending: how its body ended.
    """

    def __init__(self, reason: str, ending: Ending = Ending.EARLY) -> None:
        super().__init__(reason)
        self.ending = ending

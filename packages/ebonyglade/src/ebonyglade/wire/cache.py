"""Messages about the prefix caches of engines."""

from ebonyglade.wire.base import Message


class CacheChanged(Message, frozen=True):
    """Blocks that an engine stored and evicted since the last report.

    Attributes:
        seq: number of the report; a number that was left out tells of a gap.
        stored: hashes as of `ebonyglade.placement.prefixes.prompt_blocks`.
        evicted: hashes of blocks that are gone.
    """

    seq: int
    stored: list[int] = []
    evicted: list[int] = []


MESSAGES = (CacheChanged,)

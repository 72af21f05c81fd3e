"""Messages about the prefix caches of engines."""

from ebonyglade.wire.base import Message


class CacheChanged(Message, frozen=True):
    """KV cache blocks that an engine stored and evicted since the last report.

    Attributes:
        seq: sequence number of the report; a skipped number means that reports are
            missing.
        stored: hashes of stored blocks, computed as by
            `ebonyglade.placement.prefixes.prompt_blocks`.
        evicted: hashes of evicted blocks.
    """

    seq: int
    stored: list[int] = []
    evicted: list[int] = []


MESSAGES = (CacheChanged,)

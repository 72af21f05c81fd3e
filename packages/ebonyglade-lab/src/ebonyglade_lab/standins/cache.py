"""Prefix cache of a stand-in engine, with a numbered log of its changes."""

from collections import OrderedDict, deque

KEPT_EVENTS = 256


class PrefixCache:
    """Cached prompt blocks; the least recently used are evicted first.

    Only the last events are kept, so a reader that lags behind finds a gap in the
    sequence numbers.
    """

    def __init__(self, max_blocks: int) -> None:
        self._max_blocks = max_blocks
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._events: deque[tuple[int, list[int], list[int]]] = deque(
            maxlen=KEPT_EVENTS
        )
        self._seq = 0

    def touch(self, blocks: tuple[int, ...]) -> int:
        """Return the number of leading blocks that are cached, and cache all blocks."""
        hits = 0
        while hits < len(blocks) and blocks[hits] in self._blocks:
            hits += 1
        for block in reversed(blocks):
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        evicted = []
        while len(self._blocks) > self._max_blocks:
            evicted.append(self._blocks.popitem(last=False)[0])
        if evicted or hits < len(blocks):
            self._seq += 1
            self._events.append((self._seq, list(blocks[hits:]), evicted))
        return hits

    def events_after(self, seq: int) -> list[tuple[int, list[int], list[int]]]:
        """Return the kept events whose sequence number is above `seq`."""
        return [event for event in self._events if event[0] > seq]

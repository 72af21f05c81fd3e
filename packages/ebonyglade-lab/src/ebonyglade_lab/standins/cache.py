"""Prefix cache of a stand-in engine, which numbers its changes."""

from collections import OrderedDict, deque

KEPT_EVENTS = 256


class PrefixCache:
    """Blocks of prompts, the least recently used evicted first.

    Only the last events are kept: a reader that comes late meets a gap.
    """

    def __init__(self, most: int) -> None:
        self._most = most
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._events: deque[tuple[int, list[int], list[int]]] = deque(
            maxlen=KEPT_EVENTS
        )
        self._seq = 0

    def touch(self, blocks: tuple[int, ...]) -> int:
        """Return how many first blocks are cached, and cache them all."""
        hits = 0
        while hits < len(blocks) and blocks[hits] in self._blocks:
            hits += 1
        for block in reversed(blocks):
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        evicted = []
        while len(self._blocks) > self._most:
            evicted.append(self._blocks.popitem(last=False)[0])
        if evicted or hits < len(blocks):
            self._seq += 1
            self._events.append((self._seq, list(blocks[hits:]), evicted))
        return hits

    def events_after(self, seq: int) -> list[tuple[int, list[int], list[int]]]:
        """Return the events that are kept with a number above `seq`."""
        return [event for event in self._events if event[0] > seq]

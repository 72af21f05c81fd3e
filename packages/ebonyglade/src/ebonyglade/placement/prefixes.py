"""Index of the endpoints that probably cache the first blocks of a prompt.

Engines report changes of their KV caches with delay, and reports may be lost. So
the index holds hints only: they expire, and a gap in the sequence numbers of an
endpoint's reports removes all hints about it.
"""

import random
from collections import OrderedDict
from dataclasses import dataclass, field
from hashlib import blake2b

BLOCK_BYTES = 1024  # bytes of prompt text in one block
BLOCK_TOKENS = 256  # estimated tokens in one block
MAX_PROMPT_BLOCKS = 128  # blocks of a prompt that are hashed and looked up
MAX_HINTS = 40_000  # over all endpoints; beyond it the oldest are removed
MAX_HINT_AGE_S = 60.0  # older hints are ignored


def prompt_blocks(prompt: str) -> tuple[int, ...]:
    """Return the chained hashes of a prompt's complete blocks.

    Each hash covers the prompt from its start to the end of the block, so that
    equal hashes mean equal prefixes.
    """
    data = prompt.encode()
    count = min(len(data) // BLOCK_BYTES, MAX_PROMPT_BLOCKS)
    running = blake2b(digest_size=8)
    blocks = []
    for start in range(0, count * BLOCK_BYTES, BLOCK_BYTES):
        running.update(data[start : start + BLOCK_BYTES])
        blocks.append(int.from_bytes(running.digest(), "big"))
    return tuple(blocks)


@dataclass(slots=True)
class _EndpointCache:
    incarnation: str
    seq: int
    blocks: dict[int, float] = field(default_factory=dict)


class PrefixIndex:
    """Hints by endpoint and block, bounded in number and age.

    Attributes:
        gaps: number of gaps in the reports so far.
    """

    def __init__(self, max_hints: int = MAX_HINTS) -> None:
        self._max_hints = max_hints
        self._endpoints: dict[str, _EndpointCache] = {}
        self._holders: dict[int, dict[str, None]] = {}
        self._order: OrderedDict[tuple[str, int], None] = OrderedDict()
        self.gaps = 0

    def __len__(self) -> int:
        return len(self._order)

    def apply(
        self,
        endpoint: str,
        incarnation: str,
        seq: int,
        stored: list[int],
        evicted: list[int],
        now: float,
    ) -> None:
        """Apply one report of changes in an endpoint's cache.

        Args:
            endpoint: the agent's instance id.
            incarnation: identifies the present processes of engine and agent.
            seq: number of the report; consecutive unless reports were lost.
            stored: blocks that the engine added.
            evicted: blocks that the engine removed.
            now: monotonic seconds.
        """
        known = self._endpoints.get(endpoint)
        if known is None or (known.incarnation, known.seq + 1) != (incarnation, seq):
            if known is not None and known.incarnation == incarnation:
                if seq <= known.seq:
                    return
                self.gaps += 1
            self.drop(endpoint)
            known = self._endpoints[endpoint] = _EndpointCache(incarnation, seq)
        known.seq = seq
        for block in evicted:
            self._remove(endpoint, block)
        for block in stored:
            self._add(endpoint, known, block, now)

    def touch(self, endpoint: str, blocks: tuple[int, ...], now: float) -> None:
        """Refresh the hints for a prompt that an endpoint just prefilled.

        A cached prefix that is used again causes no report, so without this its
        hints would expire. It also restores hints that were removed after a gap.
        """
        known = self._endpoints.get(endpoint)
        if known is None:
            return
        for block in blocks:
            self._add(endpoint, known, block, now)

    def drop(self, endpoint: str) -> None:
        """Remove all hints about an endpoint."""
        known = self._endpoints.get(endpoint)
        if known is None:
            return
        for block in list(known.blocks):
            self._remove(endpoint, block)
        del self._endpoints[endpoint]

    def cached_tokens(self, endpoint: str, blocks: tuple[int, ...], now: float) -> int:
        """Return how many of a prompt's first tokens an endpoint may have cached."""
        known = self._endpoints.get(endpoint)
        if known is None:
            return 0
        count = 0
        for block in blocks:
            at = known.blocks.get(block)
            if at is None or now - at > MAX_HINT_AGE_S:
                break
            count += 1
        return count * BLOCK_TOKENS

    def best_holder(self, blocks: tuple[int, ...], rng: random.Random) -> str | None:
        """Return an endpoint that may cache the longest prefix of a prompt."""
        low, high, found = 0, len(blocks), None
        # Binary search: an endpoint that holds a block nearly always holds all the
        # blocks before it.
        while low < high:
            middle = (low + high) // 2
            holders = self._holders.get(blocks[middle])
            if holders:
                found, low = holders, middle + 1
            else:
                high = middle
        return list(found)[int(rng.random() * len(found))] if found else None

    def _add(
        self, endpoint: str, known: _EndpointCache, block: int, now: float
    ) -> None:
        known.blocks[block] = now
        self._holders.setdefault(block, {})[endpoint] = None
        key = (endpoint, block)
        self._order[key] = None
        self._order.move_to_end(key)
        if len(self._order) > self._max_hints:
            self._remove(*next(iter(self._order)))

    def _remove(self, endpoint: str, block: int) -> None:
        if self._order.pop((endpoint, block), 0) == 0:
            return
        known = self._endpoints.get(endpoint)
        if known is not None:
            known.blocks.pop(block, None)
        holders = self._holders[block]
        holders.pop(endpoint, None)
        if not holders:
            del self._holders[block]

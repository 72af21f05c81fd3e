"""Which endpoints probably hold the KV cache of a prompt's first blocks.

Engines tell of their caches late and with gaps. The index is a hint: it ages,
and a gap in the sequence numbers of an endpoint's reports drops all that was
known of it.
"""

import random
from collections import OrderedDict
from dataclasses import dataclass, field
from hashlib import blake2b

BLOCK_BYTES = 1024  # bytes of prompt text in one block
BLOCK_TOKENS = 256  # tokens that stand for one block
MAX_PROMPT_BLOCKS = 128  # blocks of a prompt that are looked up
MAX_HINTS = 40_000  # blocks known of all endpoints together
HINT_AGE_S = 60.0  # age at which a hint counts no more


def prompt_blocks(prompt: str) -> tuple[int, ...]:
    """Return the chained hashes of a prompt's whole blocks.

    Each hash stands for the prompt up to the end of its block, so that equal
    hashes mean equal prefixes.
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
class _Endpoint:
    incarnation: str
    seq: int
    blocks: dict[int, float] = field(default_factory=dict)


class PrefixIndex:
    """Hints by endpoint and block, bounded in number and age."""

    def __init__(self, most: int = MAX_HINTS) -> None:
        self._most = most
        self._endpoints: dict[str, _Endpoint] = {}
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
        """Take one report of an endpoint's cache.

        Args:
            endpoint: the agent's instance id.
            incarnation: the engine's and agent's present life.
            seq: number of the report; consecutive unless some were lost.
            stored: blocks that the engine holds from now on.
            evicted: blocks that it holds no more.
            now: monotonic seconds.
        """
        known = self._endpoints.get(endpoint)
        if known is None or (known.incarnation, known.seq + 1) != (incarnation, seq):
            if known is not None and known.incarnation == incarnation:
                if seq <= known.seq:
                    return
                self.gaps += 1
            self.drop(endpoint)
            known = self._endpoints[endpoint] = _Endpoint(incarnation, seq)
        known.seq = seq
        for block in evicted:
            self._forget(endpoint, block)
        for block in stored:
            self._learn(endpoint, known, block, now)

    def touch(self, endpoint: str, blocks: tuple[int, ...], now: float) -> None:
        """Note that an endpoint just prefilled a prompt of this entry.

        A prefix that is often found makes no more events, so this keeps what is
        used from ageing, and brings it back after a gap.
        """
        known = self._endpoints.get(endpoint)
        if known is None:
            return
        for block in blocks:
            self._learn(endpoint, known, block, now)

    def drop(self, endpoint: str) -> None:
        """Forget all that is known of an endpoint's cache."""
        known = self._endpoints.get(endpoint)
        if known is None:
            return
        for block in list(known.blocks):
            self._forget(endpoint, block)
        del self._endpoints[endpoint]

    def cached_tokens(self, endpoint: str, blocks: tuple[int, ...], now: float) -> int:
        """Return how many of a prompt's first tokens an endpoint may hold."""
        known = self._endpoints.get(endpoint)
        if known is None:
            return 0
        count = 0
        for block in blocks:
            at = known.blocks.get(block)
            if at is None or now - at > HINT_AGE_S:
                break
            count += 1
        return count * BLOCK_TOKENS

    def best_holder(self, blocks: tuple[int, ...], rng: random.Random) -> str | None:
        """Return one of the endpoints that may hold the longest part of a prompt."""
        low, high, found = 0, len(blocks), None
        # A holder of a block nearly always holds the blocks before it.
        while low < high:
            middle = (low + high) // 2
            holders = self._holders.get(blocks[middle])
            if holders:
                found, low = holders, middle + 1
            else:
                high = middle
        return list(found)[int(rng.random() * len(found))] if found else None

    def _learn(self, endpoint: str, known: _Endpoint, block: int, now: float) -> None:
        known.blocks[block] = now
        self._holders.setdefault(block, {})[endpoint] = None
        key = (endpoint, block)
        self._order[key] = None
        self._order.move_to_end(key)
        if len(self._order) > self._most:
            self._forget(*next(iter(self._order)))

    def _forget(self, endpoint: str, block: int) -> None:
        if self._order.pop((endpoint, block), 0) == 0:
            return
        known = self._endpoints.get(endpoint)
        if known is not None:
            known.blocks.pop(block, None)
        holders = self._holders[block]
        holders.pop(endpoint, None)
        if not holders:
            del self._holders[block]

"""Fake engines with the times that placement depends on.

Prefill takes time by tokens that are not cached, exports are evicted soon,
transfers share the links of both sides, and answers end when they end.
"""

import asyncio
import random
from collections import OrderedDict
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

from ebonyglade.placement.prefixes import BLOCK_TOKENS, prompt_blocks
from ebonyglade.ports import (
    DecodeJob,
    EngineError,
    PrefillJob,
    PrefillResult,
    Token,
)
from ebonyglade_lab.virtual.process import Process

BYTES_PER_TOKEN = 4
CacheListener = Callable[[int, list[int], list[int]], None]


@dataclass(frozen=True, slots=True)
class Speeds:
    """How fast the engines of an experiment are.

    Attributes:
        prefill_token_s: for each prompt token that is not cached.
        transfer_token_s: for each token, when a link carries nothing else.
        decode_token_s: between two tokens.
        export_kept_s: until an export is evicted.
        cache_blocks: prefix blocks that an engine keeps.
        event_late_s: most seconds by which a cache event is late.
        event_lost: share of cache events that are lost.
    """

    prefill_token_s: float = 0.00005
    transfer_token_s: float = 0.000005
    decode_token_s: float = 0.025
    export_kept_s: float = 0.8
    cache_blocks: int = 256
    event_late_s: float = 0.5
    event_lost: float = 0.01


@dataclass(slots=True)
class Tally:
    """What all engines of an experiment did.

    Attributes:
        prefilled: tokens that were prefilled, in vain or not.
        wasted: of these, tokens whose result was never used.
        cached: prompt tokens that were found in a cache.
        busy: slot-seconds of decode.
    """

    prefilled: float = 0.0
    wasted: float = 0.0
    cached: float = 0.0
    busy: float = 0.0


@dataclass(slots=True)
class FleetState:
    """What the engines of one experiment share.

    Attributes:
        speeds: times of all engines.
        lengths: tokens of the answer to each prompt.
        rng: randomness of the engines.
        tally: what they did.
        engines: state by instance id.
    """

    speeds: Speeds
    lengths: dict[str, int]
    rng: random.Random
    tally: Tally = field(default_factory=Tally)
    engines: dict[str, "EngineState"] = field(default_factory=dict)


@dataclass(slots=True)
class EngineState:
    """One engine; outlives the agent beside it.

    Attributes:
        slots: most decodes at once.
        jobs: jobs that hold memory, with the time they began.
        exports: finished prefills, with the tokens that they cost.
        cache: blocks of prefixes, least recently used first.
        link_free: when its link has sent all that waits.
        seq: number of the last cache event.
        told: when the last of them is told; they come late and in order.
    """

    slots: int
    jobs: dict[str, float] = field(default_factory=dict)
    exports: dict[str, float] = field(default_factory=dict)
    cache: OrderedDict[int, None] = field(default_factory=OrderedDict)
    link_free: float = 0.0
    seq: int = 0
    told: float = 0.0


@dataclass(slots=True)
class BenchEngine:
    """An agent's connection to its engine."""

    name: str
    fleet: FleetState
    process: Process
    listener: CacheListener = lambda seq, stored, evicted: None

    @property
    def _state(self) -> EngineState:
        return self.fleet.engines[self.name]

    async def prefill(self, job: PrefillJob) -> PrefillResult:
        """Compute the KV cache of a prompt."""
        await self.process.awake()
        state, fleet = self._state, self.fleet
        tokens = -(-len(job.prompt) // BYTES_PER_TOKEN)
        cached = self._touch(prompt_blocks(job.prompt)) * BLOCK_TOKENS
        fresh = max(1, tokens - cached)
        state.jobs[job.job] = _now()
        fleet.tally.prefilled += fresh
        fleet.tally.cached += cached
        try:
            await asyncio.sleep(fresh * fleet.speeds.prefill_token_s)
        except asyncio.CancelledError:
            fleet.tally.wasted += fresh
            raise
        finally:
            state.jobs.pop(job.job, None)
        state.exports[job.job] = fresh
        loop = asyncio.get_running_loop()
        loop.call_later(fleet.speeds.export_kept_s, self._evict, job.job)
        return PrefillResult(self.name, job.job, tokens, min(cached, tokens))

    async def decode(self, job: DecodeJob) -> AsyncIterator[Token]:
        """Import a KV cache and generate the answer."""
        await self.process.awake()
        state = self._state
        if len(state.jobs) >= state.slots:
            raise EngineError("full", ran=False)
        began = state.jobs[job.job] = _now()
        try:
            await self._import(job)
            for index in range(len(job.resume), self.fleet.lengths[job.prompt]):
                await asyncio.sleep(self.fleet.speeds.decode_token_s)
                yield Token(index, "t")
        finally:
            state.jobs.pop(job.job, None)
            self.fleet.tally.busy += _now() - began

    async def cancel(self, job: str) -> None:
        """Free what a job holds."""
        self._state.jobs.pop(job, None)
        self._evict(job)

    async def held(self) -> list[str]:
        """Return the jobs and exports that hold memory."""
        return [*self._state.jobs, *self._state.exports]

    async def _import(self, job: DecodeJob) -> None:
        fleet = self.fleet
        tokens = -(-len(job.prompt) // BYTES_PER_TOKEN)
        source = fleet.engines.get(job.source)
        if source is None or source.exports.pop(job.handle, None) is None:
            # The result was evicted, so the prompt is computed a second time.
            fleet.tally.prefilled += tokens
            await asyncio.sleep(tokens * fleet.speeds.prefill_token_s)
            return
        begin = max(_now(), source.link_free, self._state.link_free)
        end = begin + tokens * fleet.speeds.transfer_token_s
        source.link_free = self._state.link_free = end
        await asyncio.sleep(end - _now())

    def _evict(self, job: str) -> None:
        self.fleet.tally.wasted += self._state.exports.pop(job, 0.0)

    def _touch(self, blocks: tuple[int, ...]) -> int:
        """Return how many first blocks are cached, and cache them all."""
        cache, hits = self._state.cache, 0
        while hits < len(blocks) and blocks[hits] in cache:
            hits += 1
        for block in reversed(blocks):
            cache[block] = None
            cache.move_to_end(block)
        evicted = []
        while len(cache) > self.fleet.speeds.cache_blocks:
            evicted.append(cache.popitem(last=False)[0])
        self._tell(list(blocks[hits:]), evicted)
        return hits

    def _tell(self, stored: list[int], evicted: list[int]) -> None:
        if not stored and not evicted:
            return
        self._state.seq += 1
        rng, speeds = self.fleet.rng, self.fleet.speeds
        if rng.random() < speeds.event_lost:
            return
        loop = asyncio.get_running_loop()
        late = loop.time() + rng.random() * speeds.event_late_s
        self._state.told = max(self._state.told + 1e-6, late)
        loop.call_at(self._state.told, self._deliver, self._state.seq, stored, evicted)

    def _deliver(self, seq: int, stored: list[int], evicted: list[int]) -> None:
        if not self.process.dead:
            self.listener(seq, stored, evicted)


def _now() -> float:
    return asyncio.get_running_loop().time()

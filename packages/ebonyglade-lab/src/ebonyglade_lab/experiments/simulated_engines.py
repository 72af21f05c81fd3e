"""Simulated engines with the delays that placement depends on.

A prefill takes time for each prompt token that is not cached, an export is evicted
after a fixed time, transfers queue for the links of both engines, and the length of
each answer is set by the load.
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
class EngineParameters:
    """Delays, cache size and event faults of the engines of an experiment.

    Attributes:
        prefill_token_s: seconds of prefill for each prompt token that is not cached.
        transfer_token_s: seconds of transfer for each token, over an idle link.
        decode_token_s: seconds between two tokens of an answer.
        export_lifetime_s: seconds until an unused export is evicted.
        cache_blocks: prefix blocks that an engine keeps.
        max_event_delay_s: longest delay of a cache event.
        event_loss_share: share of cache events that are lost.
    """

    prefill_token_s: float = 0.00005
    transfer_token_s: float = 0.000005
    decode_token_s: float = 0.025
    export_lifetime_s: float = 0.8
    cache_blocks: int = 256
    max_event_delay_s: float = 0.5
    event_loss_share: float = 0.01


@dataclass(slots=True)
class EngineTotals:
    """Totals over all engines of an experiment.

    Attributes:
        prefilled: tokens that were prefilled, whether the result was used or not.
        wasted: of these, tokens whose result was never used.
        cached: prompt tokens that were found in a cache.
        busy: seconds of decode, summed over all slots.
    """

    prefilled: float = 0.0
    wasted: float = 0.0
    cached: float = 0.0
    busy: float = 0.0


@dataclass(slots=True)
class FleetState:
    """State that the engines of one experiment share.

    Attributes:
        parameters: delays and limits of all engines.
        answer_tokens: length of the answer in tokens, by prompt.
        rng: random number generator of the engines.
        totals: totals over all engines.
        engines: state of each engine, by instance id.
    """

    parameters: EngineParameters
    answer_tokens: dict[str, int]
    rng: random.Random
    totals: EngineTotals = field(default_factory=EngineTotals)
    engines: dict[str, "SimulatedEngineState"] = field(default_factory=dict)


@dataclass(slots=True)
class SimulatedEngineState:
    """State of one engine, which outlives a restart of its agent.

    Attributes:
        slots: most decodes that run at the same time.
        jobs: start time of each running job, which holds memory.
        exports: tokens that each finished prefill computed, by job.
        cache: blocks of prefixes, least recently used first.
        link_free_at: time at which the queued transfers over its link end.
        seq: sequence number of the last cache event.
        last_event_at: delivery time of the last event; events arrive late, in order.
    """

    slots: int
    jobs: dict[str, float] = field(default_factory=dict)
    exports: dict[str, float] = field(default_factory=dict)
    cache: OrderedDict[int, None] = field(default_factory=OrderedDict)
    link_free_at: float = 0.0
    seq: int = 0
    last_event_at: float = 0.0


@dataclass(slots=True)
class SimulatedEngine:
    """An agent's connection to its engine."""

    name: str
    fleet: FleetState
    process: Process
    listener: CacheListener = lambda seq, stored, evicted: None

    @property
    def _state(self) -> SimulatedEngineState:
        return self.fleet.engines[self.name]

    async def prefill(self, job: PrefillJob) -> PrefillResult:
        """Compute the KV cache of a prompt."""
        await self.process.wait_until_running()
        state, fleet = self._state, self.fleet
        tokens = -(-len(job.prompt) // BYTES_PER_TOKEN)
        cached = self._add_to_cache(prompt_blocks(job.prompt)) * BLOCK_TOKENS
        fresh = max(1, tokens - cached)
        state.jobs[job.job] = _now()
        fleet.totals.prefilled += fresh
        fleet.totals.cached += cached
        try:
            await asyncio.sleep(fresh * fleet.parameters.prefill_token_s)
        except asyncio.CancelledError:
            fleet.totals.wasted += fresh
            raise
        finally:
            state.jobs.pop(job.job, None)
        state.exports[job.job] = fresh
        loop = asyncio.get_running_loop()
        loop.call_later(fleet.parameters.export_lifetime_s, self._evict, job.job)
        return PrefillResult(self.name, job.job, tokens, min(cached, tokens))

    async def decode(self, job: DecodeJob) -> AsyncIterator[Token]:
        """Import a KV cache and generate the answer."""
        await self.process.wait_until_running()
        state = self._state
        if len(state.jobs) >= state.slots:
            raise EngineError("full", may_have_run=False)
        began = state.jobs[job.job] = _now()
        try:
            await self._import_cache(job)
            for index in range(len(job.resume), self.fleet.answer_tokens[job.prompt]):
                await asyncio.sleep(self.fleet.parameters.decode_token_s)
                yield Token(index, "t")
        finally:
            state.jobs.pop(job.job, None)
            self.fleet.totals.busy += _now() - began

    async def cancel(self, job: str) -> None:
        """Free what a job holds."""
        self._state.jobs.pop(job, None)
        self._evict(job)

    async def held(self) -> list[str]:
        """Return the jobs and exports that hold memory."""
        return [*self._state.jobs, *self._state.exports]

    async def _import_cache(self, job: DecodeJob) -> None:
        fleet = self.fleet
        tokens = -(-len(job.prompt) // BYTES_PER_TOKEN)
        source = fleet.engines.get(job.source)
        if source is None or source.exports.pop(job.handle, None) is None:
            # The export was evicted, so the decode engine prefills the prompt again.
            fleet.totals.prefilled += tokens
            await asyncio.sleep(tokens * fleet.parameters.prefill_token_s)
            return
        begin = max(_now(), source.link_free_at, self._state.link_free_at)
        end = begin + tokens * fleet.parameters.transfer_token_s
        source.link_free_at = self._state.link_free_at = end
        await asyncio.sleep(end - _now())

    def _evict(self, job: str) -> None:
        self.fleet.totals.wasted += self._state.exports.pop(job, 0.0)

    def _add_to_cache(self, blocks: tuple[int, ...]) -> int:
        """Cache all blocks; return how many leading blocks were cached before."""
        cache, hits = self._state.cache, 0
        while hits < len(blocks) and blocks[hits] in cache:
            hits += 1
        for block in reversed(blocks):
            cache[block] = None
            cache.move_to_end(block)
        evicted = []
        while len(cache) > self.fleet.parameters.cache_blocks:
            evicted.append(cache.popitem(last=False)[0])
        self._schedule_event(list(blocks[hits:]), evicted)
        return hits

    def _schedule_event(self, stored: list[int], evicted: list[int]) -> None:
        if not stored and not evicted:
            return
        self._state.seq += 1
        rng, parameters = self.fleet.rng, self.fleet.parameters
        if rng.random() < parameters.event_loss_share:
            return
        loop = asyncio.get_running_loop()
        delivery_at = loop.time() + rng.random() * parameters.max_event_delay_s
        self._state.last_event_at = max(self._state.last_event_at + 1e-6, delivery_at)
        loop.call_at(
            self._state.last_event_at, self._deliver, self._state.seq, stored, evicted
        )

    def _deliver(self, seq: int, stored: list[int], evicted: list[int]) -> None:
        if not self.process.killed:
            self.listener(seq, stored, evicted)


def _now() -> float:
    return asyncio.get_running_loop().time()

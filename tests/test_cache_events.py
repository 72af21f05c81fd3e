import asyncio

import aiohttp

from ebonyglade.placement.prefixes import prompt_blocks
from ebonyglade_lab import demo
from ebonyglade_lab.standins.cache import KEPT_EVENTS, PrefixCache
from helpers.fleets import small_fleet

PROMPT = "a speaker's paper " * 300


async def test_an_entry_learns_what_an_engine_caches():
    async with small_fleet() as fleet:
        async with aiohttp.ClientSession() as session:
            await demo.ask(session, fleet.urls()[0], PROMPT)
        placement = next(iter(fleet.entries.values())).core.placement
        blocks = prompt_blocks(PROMPT)
        async with asyncio.timeout(10.0):
            while not placement.prefixes.cached_tokens("prefill-1", blocks, 0.0):
                await asyncio.sleep(0.05)
        assert len(placement.prefixes) == len(blocks)


def test_a_late_reader_of_cache_events_sees_a_gap():
    cache = PrefixCache(max_blocks=4)
    for number in range(KEPT_EVENTS + 10):
        cache.touch((number,))
    events = cache.events_after(0)
    assert events[0][0] == 11
    assert events[-1][2] == [KEPT_EVENTS + 5]


def test_a_cache_hit_makes_no_event():
    cache = PrefixCache(max_blocks=4)
    assert cache.touch((1, 2)) == 0
    assert cache.touch((1, 2)) == 2
    assert len(cache.events_after(0)) == 1

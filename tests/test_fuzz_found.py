"""Faults that the fuzzer found, each caused again by the shortest way."""

import asyncio

from ebonyglade.worker.fair import FairQueue, Waiting
from ebonyglade.worker.prefills import PrefillLine
from ebonyglade_lab.virtual.loop import run


def test_a_turn_is_not_given_to_a_prefill_cancelled_in_the_same_moment():
    async def scenario():
        clock = asyncio.get_running_loop().time
        line = PrefillLine(1, FairQueue(8), clock)
        served = []

        async def prefill(name, seconds):
            async with line.turn(Waiting(name, "aula/physics", 1, 1.0, 100.0)):
                served.append(name)
                await asyncio.sleep(seconds)

        first = asyncio.ensure_future(prefill("first", 1.0))
        second = asyncio.ensure_future(prefill("second", 1.0))
        third = asyncio.ensure_future(prefill("third", 1.0))
        await asyncio.sleep(0.5)
        first.cancel()
        second.cancel()
        await asyncio.wait([first, second, third])
        return served, first.cancelled(), line.running

    assert run(scenario()) == (["first", "third"], True, 0)

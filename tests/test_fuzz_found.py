"""Faults that the fuzzer found, each caused again by the shortest way."""

import asyncio
from collections import Counter

from ebonyglade.worker.fair import FairQueue, Waiting
from ebonyglade.worker.prefills import PrefillLine
from ebonyglade_lab.virtual.loop import run
from helpers.worlds import KEY, small_world


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


def test_a_booking_that_arrives_twice_and_late_runs_once():
    """The answer to the second message must not overtake that to the first."""

    async def scenario():
        world = small_world(entries=1, pairs=2)
        for service in world.services.values():
            service.slow_s = 0.5
        await asyncio.sleep(1)
        faults = world.network.faults
        faults.repeat, faults.late, faults.late_s = 1.0, 0.5, 2.0
        for number in range(60):
            body = f"room {number}".encode()
            call = world.service_call(KEY, "POST", "/bookings", body)
            await world.call("entry-0", call)
        await asyncio.sleep(5)
        return [service.executions for service in world.services.values()]

    executions = sum(run(scenario()), start=Counter())
    assert len(executions) > 30
    assert set(executions.values()) == {1}

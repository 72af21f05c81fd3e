"""Regression tests: faults that the fuzzer found, each with a minimal scenario."""

import asyncio
from collections import Counter

from ebonyglade.agent import EndpointLimits
from ebonyglade.worker.fair_queue import FairQueue, QueueItem
from ebonyglade.worker.prefill_queue import PrefillQueue
from ebonyglade_lab.fuzz import checks
from ebonyglade_lab.virtual.loop import run
from ebonyglade_lab.virtual.world import MODEL_POOL, SERVICE_POOL, ZONES, World
from helpers.bookings import book, code_and_verdict, executions, issuing_agent, ticket
from helpers.worlds import KEY, small_world


def test_prefill_slot_is_not_given_to_a_prefill_cancelled_at_the_same_time():
    """The running and the first waiting prefill are cancelled in the same loop step."""

    async def scenario():
        clock = asyncio.get_running_loop().time
        queue = PrefillQueue(1, FairQueue(8), clock)
        served = []

        async def prefill(name, seconds):
            async with queue.slot(QueueItem(name, "aula/physics", 1, 1.0, 100.0)):
                served.append(name)
                await asyncio.sleep(seconds)

        first = asyncio.ensure_future(prefill("first", 1.0))
        second = asyncio.ensure_future(prefill("second", 1.0))
        third = asyncio.ensure_future(prefill("third", 1.0))
        await asyncio.sleep(0.5)
        first.cancel()
        second.cancel()
        await asyncio.wait([first, second, third])
        return served, first.cancelled(), queue.running

    assert run(scenario()) == (["first", "third"], True, 0)


def test_booking_whose_messages_arrive_twice_and_late_runs_once():
    """The answer to the repeated message must not overtake that to the first."""

    async def scenario():
        world = small_world(entries=1, pairs=2)
        for service in world.services.values():
            service.max_extra_s = 0.5
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


def test_unused_ticket_of_a_leaving_endpoint_is_closed():
    async def scenario():
        world = small_world()
        await asyncio.sleep(1)
        held = await ticket(world)
        agent = issuing_agent(world, held)
        world.list_instance(
            agent, "agent", ZONES[0], SERVICE_POOL, "service", "leaving"
        )
        await asyncio.sleep(checks.MAX_LEAVING_NOTICE_S)
        outcome = await book(world, "entry-1", b"room 1", held)
        return code_and_verdict(outcome), executions(world, b"room 1")

    assert run(scenario()) == (("ticket_void", "not_run"), 0)


def test_waiting_work_is_not_sent_to_an_endpoint_that_is_leaving_by_then():
    """The endpoints were chosen from the instance list at the request's arrival."""

    async def scenario():
        world = World(1)
        world.publish_team("aula", ["physics"], rate=50_000.0, burst=100_000.0)
        route = {"kind": "model", "model": "abstracts", "pool": MODEL_POOL}
        path = "teams/aula/routes/abstracts"
        world.platform.publish(path, **route, patient=True, deadline_s=60.0)
        for index in range(2):
            world.add_engine(f"prefill-{index}", "prefill")
        world.add_engine("decode-0", "decode", limits=EndpointLimits(slots=1))
        world.engines["decode-0"].token_s = 0.05
        world.add_entry("entry-0")
        await asyncio.sleep(4)
        calls = [world.model_call(KEY, f"prompt {number}") for number in range(8)]
        tasks = [asyncio.ensure_future(world.call("entry-0", call)) for call in calls]
        await asyncio.sleep(0.3)
        world.list_instance(
            "prefill-0", "agent", ZONES[0], MODEL_POOL, "prefill", state="leaving"
        )
        await asyncio.sleep(checks.MAX_LEAVING_NOTICE_S)
        before = world.engines["prefill-0"].prefill_count
        outcomes = await asyncio.gather(*tasks)
        return outcomes, world.engines["prefill-0"].prefill_count - before

    outcomes, late_prefills = run(scenario())
    assert all(outcome.complete for outcome in outcomes)
    assert late_prefills == 0

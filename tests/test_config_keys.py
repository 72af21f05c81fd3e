import asyncio

import pytest

from ebonyglade.config.view import hash_key
from ebonyglade.dispatch.keys import KeyGuard
from ebonyglade.verdict import Verdict
from ebonyglade_lab.virtual.loop import run
from helpers.worlds import KEY, small_world

STOPS_WITHIN_S = 4.0  # time within which a withdrawn key stops working


def withdraw(world):
    return world.platform.publish(
        "teams/aula/keys/physics",
        digest=hash_key(KEY),
        workspace="physics",
        withdrawn=True,
    )


def slow_world():
    """Return a small world in which an answer takes several seconds."""
    world = small_world()
    for engine in world.engines.values():
        engine.token_s = 0.2
    return world


@pytest.fixture
def disabled_guard(monkeypatch):
    async def passes(self, call, proceed):
        return await proceed(call)

    monkeypatch.setattr(KeyGuard, "guard", passes)


async def _withdrawn_in_mid_stream():
    world = slow_world()
    await asyncio.sleep(1)
    call = world.model_call(KEY, "a long answer", max_tokens=1024)
    task = asyncio.ensure_future(world.call("entry-0", call))
    await asyncio.sleep(0.2)
    other = world.model_call("aula/history", "another key", max_tokens=1024)
    untouched = asyncio.ensure_future(world.call("entry-0", other))
    await asyncio.sleep(0.2)
    withdraw(world)
    at = world.now()
    outcome = await task
    assert (await untouched).complete
    await asyncio.sleep(1)
    busy = [engine for engine in world.engines.values() if engine.jobs]
    return outcome, outcome.ended_at - at, busy, world


def test_stream_is_cut_off_with_a_marked_failure():
    outcome, took, busy, world = run(_withdrawn_in_mid_stream())
    assert outcome.tokens and not outcome.complete
    assert outcome.refusal.code == "key_withdrawn"
    assert outcome.refusal.verdict is Verdict.RAN
    assert took < STOPS_WITHIN_S
    assert busy == []
    assert world.nodes["entry-0"].core.keys.open_requests == 0


def test_without_the_guard_the_stream_continues(disabled_guard):
    assert run(_withdrawn_in_mid_stream())[0].complete


def test_request_that_waits_is_refused():
    async def scenario():
        world = slow_world()
        await asyncio.sleep(1)
        for engine in world.engines.values():
            engine.stalled = True
        call = world.model_call(KEY, "stalls at its import")
        task = asyncio.ensure_future(world.call("entry-0", call))
        await asyncio.sleep(0.2)
        withdraw(world)
        at = world.now()
        outcome = await task
        return outcome, outcome.ended_at - at

    outcome, took = run(scenario())
    assert outcome.refusal.code == "key_withdrawn"
    assert outcome.refusal.verdict is not Verdict.NOT_RUN
    assert took < STOPS_WITHIN_S


@pytest.mark.parametrize("by", ["removal", "move"])
def test_key_that_is_removed_or_moved_ends_what_runs(by):
    async def scenario():
        world = slow_world()
        await asyncio.sleep(1)
        call = world.model_call(KEY, "a long answer", max_tokens=1024)
        task = asyncio.ensure_future(world.call("entry-0", call))
        await asyncio.sleep(0.2)
        path = "teams/aula/keys/physics"
        if by == "removal":
            world.platform.remove(path)
        else:
            world.platform.publish(path, digest=hash_key(KEY), workspace="history")
        return await task

    assert run(scenario()).refusal.code == "key_withdrawn"


def test_withdrawal_reaches_an_entry_that_the_platform_does_not_answer():
    async def scenario():
        world = slow_world()
        await asyncio.sleep(1)
        world.platform.unreachable_for.add("entry-0")
        withdraw(world)
        await asyncio.sleep(STOPS_WITHIN_S)
        return await world.call("entry-0", world.model_call(KEY, "late"))

    outcome = run(scenario())
    assert outcome.refusal.code == "key_withdrawn"
    assert outcome.refusal.verdict is Verdict.NOT_RUN


def test_known_configuration_stays_in_use_while_the_platform_is_silent():
    async def scenario():
        world = slow_world()
        await asyncio.sleep(1)
        world.platform.unreachable_for = set(world.nodes)
        withdraw(world)
        await asyncio.sleep(600)
        return await world.call("entry-0", world.model_call(KEY, "ten minutes later"))

    assert run(scenario()).complete

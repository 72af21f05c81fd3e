import asyncio

from ebonyglade_lab.standins.answers import answer_tokens
from ebonyglade_lab.virtual.loop import run
from helpers.worlds import KEY, small_world


def test_answers_are_complete_and_memory_is_freed():
    async def scenario():
        world = small_world()
        await asyncio.sleep(1)
        calls = [world.model_call(KEY, f"prompt {n}") for n in range(30)]
        outcomes = await asyncio.gather(
            *(world.call(f"entry-{n % 2}", call) for n, call in enumerate(calls))
        )
        await asyncio.sleep(5)
        return world, outcomes

    world, outcomes = run(scenario())
    for number, outcome in enumerate(outcomes):
        assert outcome.refusal is None
        assert outcome.tokens == answer_tokens(f"prompt {number}", 64)
    assert not any(engine.jobs or engine.exports for engine in world.engines.values())


def test_killing_a_decode_agent_during_an_answer_loses_no_token():
    async def scenario():
        world = small_world()
        await asyncio.sleep(1)
        call = world.model_call(KEY, "a longer prompt")
        task = asyncio.ensure_future(world.call("entry-0", call))
        await asyncio.sleep(0.1)
        busy = [name for name in world.engines if world.engines[name].jobs]
        for name in busy:
            world.kill(name)
        return busy, await task

    busy, outcome = run(scenario())
    assert busy
    assert outcome.refusal is None
    assert outcome.tokens == answer_tokens("a longer prompt", 64)


def test_runs_are_the_same_for_the_same_seed():
    async def scenario():
        world = small_world(seed=7)
        await asyncio.sleep(1)
        await world.call("entry-0", world.model_call(KEY, "same"))
        return world.network.frames, world.network.bytes, world.now()

    assert run(scenario()) == run(scenario())

import asyncio

import aiohttp
import pytest

from ebonyglade.agent import AgentCore
from ebonyglade.config.relay import Relay
from ebonyglade.config.view import hash_key
from ebonyglade.wire.work import Reserve, Reserved, ServiceResponse
from ebonyglade_lab import demo
from ebonyglade_lab.fleet import KEY as FLEET_KEY, publish
from ebonyglade_lab.virtual.loop import run
from ebonyglade_node.serving import drain_or_abort
from helpers.fleets import small_fleet
from helpers.virtual_fleets import record_answers, serve_message
from helpers.worlds import KEY, small_world

DRAIN_S = 2.0


async def _rolling(world, stop):
    """Stop and start every agent in turn under load; return the refusals."""
    refused, done = [], asyncio.Event()

    async def caller(number):
        count = 0
        while not done.is_set():
            text = b"%d-%d" % (number, count)
            call = world.service_call(KEY, "POST", "/bookings", text)
            outcome = await world.call(f"entry-{number % 2}", call)
            if not outcome.complete:
                refused.append(outcome.refusal)
            call = world.model_call(KEY, f"prompt {number} {count}")
            outcome = await world.call(f"entry-{number % 2}", call)
            if not outcome.complete:
                refused.append(outcome.refusal)
            count += 1

    callers = [asyncio.ensure_future(caller(number)) for number in range(3)]
    for name in [name for name in world.nodes if not name.startswith("entry")]:
        await stop(world, name)
        await asyncio.sleep(0.3)
        world.start(name)
        await asyncio.sleep(3)
    done.set()
    await asyncio.gather(*callers)
    return refused


async def _drained(world, name):
    core = world.nodes[name].core
    core.drain()
    await asyncio.sleep(DRAIN_S)
    while core.worker.unfinished:
        await asyncio.sleep(0.05)
    world.kill(name)


async def _at_once(world, name):
    world.kill(name)


def test_stopping_every_agent_in_turn_under_load_loses_no_request():
    async def scenario(stop):
        world = small_world(pairs=2)
        await asyncio.sleep(2)
        return await _rolling(world, stop), world

    refused, world = run(scenario(_drained))
    assert refused == []
    for service in world.services.values():
        assert set(service.executions.values()) <= {1}
    assert run(scenario(_at_once))[0] != []


def test_reservation_granted_before_the_announcement_may_still_be_used():
    async def scenario():
        world = small_world(entries=1, pairs=1)
        await asyncio.sleep(2)
        entry, agent = world.nodes["entry-0"], world.nodes["rooms-0"]
        answers = record_answers(entry)
        entry.context.send("rooms-0", Reserve("a1", "w", 0, 1.0))
        await asyncio.sleep(0.1)
        agent.core.drain()
        unfinished = agent.core.worker.unfinished
        entry.context.send("rooms-0", serve_message("a1", answers))
        await asyncio.sleep(0.5)
        return (
            unfinished,
            [type(answer) for answer in answers],
            agent.core.worker.unfinished,
        )

    assert run(scenario()) == (1, [Reserved, ServiceResponse], 0)


def test_unused_reservation_delays_a_stop_by_its_lease_at_most():
    async def scenario():
        world = small_world(entries=1, pairs=1)
        await asyncio.sleep(2)
        agent: AgentCore = world.nodes["rooms-0"].core
        world.nodes["entry-0"].context.send("rooms-0", Reserve("a1", "w", 0, 1.0))
        await asyncio.sleep(0.1)
        agent.drain()
        await asyncio.sleep(agent.worker._slots.term + 0.5)
        return agent.worker.unfinished

    assert run(scenario()) == 0


def test_followers_choose_other_parents_once_a_stop_is_announced():
    async def scenario():
        world = small_world(entries=2, pairs=3)
        await asyncio.sleep(2)
        parent = world.nodes["entry-0"].core.relay.parents[0]
        world.nodes[parent].core.drain()
        await asyncio.sleep(0.1)
        return parent in world.nodes["entry-0"].core.relay.parents

    assert run(scenario()) is False


def test_instance_that_stopped_and_came_back_is_followed_again(monkeypatch):
    """It is no longer watched, so no heartbeat shows that it is back."""

    async def scenario():
        world = small_world(entries=2, pairs=3)
        await asyncio.sleep(2)
        relay = world.nodes["entry-0"].core.relay
        before = relay.parents
        relay.on_peer_leaving(before[0])
        assert before[0] not in relay.parents
        await asyncio.sleep(60)
        return before, relay.parents

    before, after = run(scenario())
    assert before == after
    monkeypatch.setattr(Relay, "_end_exclusions", lambda self, now: None)
    before, after = run(scenario())
    assert before != after


class Draining:
    """A service whose drain lasts until `finish` is set."""

    def __init__(self):
        self.finish = asyncio.Event()
        self.drained = False

    async def drain(self):
        await self.finish.wait()
        self.drained = True


async def test_second_signal_ends_the_drain():
    service, again = Draining(), asyncio.Event()
    waiting = asyncio.ensure_future(drain_or_abort(service, again.wait()))
    await asyncio.sleep(0)
    assert not waiting.done()
    again.set()
    await waiting
    assert not service.drained


async def test_drain_that_ends_by_itself_needs_no_second_signal():
    service, again = Draining(), asyncio.Event()
    service.finish.set()
    await drain_or_abort(service, again.wait())
    assert service.drained


async def test_failure_of_a_drain_is_raised():
    class Broken:
        async def drain(self):
            raise ValueError("broken")

    with pytest.raises(ValueError, match="broken"):
        await drain_or_abort(Broken(), asyncio.Event().wait())


async def test_withdrawn_key_stops_on_a_connection_that_is_kept_open():
    async with small_fleet() as fleet, aiohttp.ClientSession() as session:
        url = fleet.urls()[0]
        assert await demo.book(session, url, "before") == (201, 1)
        publish(
            fleet.platform,
            "teams/aula/keys/secretary",
            digest=hash_key(FLEET_KEY),
            workspace="physics",
            withdrawn=True,
        )
        entry = fleet.entries["entry-1"]
        async with asyncio.timeout(30):
            while entry.node.config.view.revision < fleet.platform.revision:
                await asyncio.sleep(0.01)
        headers = {"Authorization": f"Bearer {FLEET_KEY}"}
        async with session.post(url + "/bookings", data="x", headers=headers) as answer:
            assert answer.status == 401
            assert (await answer.json())["error"]["code"] == "key_withdrawn"

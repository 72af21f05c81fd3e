import asyncio

import pytest

from ebonyglade.members.addresses import Addresses
from ebonyglade.members.health import Health, HealthTable, PeerChange
from ebonyglade.members.peers import Peers
from ebonyglade.wire.control import Leaving
from ebonyglade_lab.virtual.loop import run
from helpers.virtual_fleets import zoned_world
from helpers.worlds import KEY, small_world

# Time within which a silent connection is replaced; see docs/design/membership.md.
RECOVERS_WITHIN_S = 4.0
NOTHING_NEW_AFTER_S = 4.0  # time after which a leaving endpoint gets no new work


class RecordingTransport:
    """A transport that records the last address that it learned."""

    def __init__(self):
        self.address = None

    def set_address(self, instance, address):
        self.address = address


def test_lagging_list_does_not_replace_the_announced_address():
    transport = RecordingTransport()
    addresses = Addresses(transport)
    addresses.set_listed("a", "old")
    addresses.set_announced("a", "1", "old")
    addresses.set_announced("a", "2", "new")
    addresses.set_listed("a", "old")
    assert transport.address == "new"
    addresses.set_announced("a", "1", "old")
    assert transport.address == "new"
    addresses.set_listed("a", "newest")
    assert transport.address == "newest"


def test_late_message_of_a_replaced_process_is_no_restart():
    health = HealthTable()
    health.watch("a", 0.0)
    assert health.record_message("a", "1", 1.0) is None
    assert health.record_message("a", "2", 2.0) is PeerChange.RESTARTED
    assert health.record_message("a", "1", 9.0) is None
    assert health.tick(9.0) == [("a", PeerChange.SUSPECT)]


def silence(world, source, target):
    world.network.faults.dead_connections.add((source, target))


async def _silence(pair):
    """Silence one direction of a connection in use for good.

    Returns the worst health of the peer and the directions that are still silent.
    """
    world = small_world(entries=1, pairs=1)
    await asyncio.sleep(2)
    entry = world.nodes["entry-0"]
    entry.core.peers.pin("decode-0", "test")
    await asyncio.sleep(2)
    silence(world, *pair)
    worst = Health.LIVE
    for _ in range(int(RECOVERS_WITHIN_S / 0.1)):
        await asyncio.sleep(0.1)
        health = entry.core.peers.health.health("decode-0")
        worst = Health.LOST if health is Health.LOST else worst
    await asyncio.sleep(0.2)
    return worst, world.network.faults.dead_connections


@pytest.mark.parametrize("pair", [("entry-0", "decode-0"), ("decode-0", "entry-0")])
def test_silent_connection_is_replaced_before_the_peer_is_given_up(pair, monkeypatch):
    assert run(_silence(pair)) == (Health.LIVE, set())
    if pair[0] == "decode-0":
        monkeypatch.setattr(Peers, "_reconnect", lambda *args: None)
        assert run(_silence(pair))[1] == {pair}


def test_connection_that_loses_only_what_is_sent_is_replaced(monkeypatch):
    """Messages from the peer still arrive, so it never becomes suspect."""

    async def scenario():
        world = small_world(entries=1, pairs=1)
        await asyncio.sleep(2)
        entry, agent = world.nodes["entry-0"], world.nodes["decode-0"]
        entry.core.peers.pin("decode-0", "test")
        await asyncio.sleep(1)
        silence(world, "entry-0", "decode-0")
        for _ in range(60):
            await asyncio.sleep(0.1)
            agent.context.send("entry-0", Leaving())
        return world.network.faults.dead_connections

    assert run(scenario()) == set()
    monkeypatch.setattr(HealthTable, "unresponsive", lambda self, now: [])
    assert run(scenario()) != set()


def test_listed_leaving_agent_gets_nothing_new_within_seconds():
    async def scenario():
        world = small_world(entries=2, pairs=2)
        await asyncio.sleep(2)
        world.list_instance("rooms-0", "agent", "zone-a", "rooms", "service", "leaving")
        await asyncio.sleep(NOTHING_NEW_AFTER_S)
        for number in range(40):
            body = b"%d" % number
            call = world.service_call(KEY, "POST", "/bookings", body)
            assert (await world.call(f"entry-{number % 2}", call)).complete
        return world.services["rooms-0"].executions

    assert not run(scenario())


async def _new_executions(world, calls=40):
    before = dict(world.services["rooms-0"].executions)
    for number in range(calls):
        body = b"%d-%f" % (number, world.now())
        call = world.service_call(KEY, "POST", "/bookings", body)
        assert (await world.call("entry-0", call)).complete
    return len(world.services["rooms-0"].executions) - len(before)


def test_announced_stop_holds_until_another_process_runs_there():
    async def scenario():
        world = small_world(entries=1, pairs=2)
        await asyncio.sleep(2)
        assert await _new_executions(world) > 0
        agent = world.nodes["rooms-0"]
        agent.core.drain()
        await asyncio.sleep(0.01)
        # A period of silence followed by messages does not end the exclusion.
        world.network.faults.partitioned = {frozenset(("entry-0", "rooms-0"))}
        await asyncio.sleep(4)
        world.network.faults.partitioned = set()
        await asyncio.sleep(8)
        assert "rooms-0" in world.nodes["entry-0"].core.placement.loads.avoid
        assert await _new_executions(world) == 0
        world.kill("rooms-0")
        world.start("rooms-0")
        await asyncio.sleep(8)
        return await _new_executions(world)

    assert run(scenario()) > 0


def test_announced_stop_ends_when_the_agent_is_published_again():
    async def scenario():
        world = small_world(entries=1, pairs=2)
        await asyncio.sleep(2)
        assert await _new_executions(world) > 0
        world.nodes["rooms-0"].context.send("entry-0", Leaving())
        await asyncio.sleep(0.1)
        assert await _new_executions(world) == 0
        world.list_instance("rooms-0", "agent", "zone-a", "rooms", "service")
        await asyncio.sleep(NOTHING_NEW_AFTER_S)
        return await _new_executions(world)

    assert run(scenario()) > 0


def test_agent_that_was_never_reached_is_avoided():
    async def scenario():
        world = small_world(entries=1, pairs=2)
        world.network.faults.partitioned = {frozenset(("entry-0", "rooms-0"))}
        await asyncio.sleep(2)
        for number in range(10):
            call = world.service_call(KEY, "POST", "/bookings", b"%d" % number)
            await world.call("entry-0", call)
        await asyncio.sleep(4)
        return world.nodes["entry-0"].core.placement.loads.avoid

    assert "rooms-0" in run(scenario())


def test_instances_that_left_are_forgotten():
    async def scenario():
        world = zoned_world(agents=6, entries=2)
        await asyncio.sleep(2)
        for number in range(40):
            name = f"rooms-{number % 6}" if number < 6 else f"new-{number - 6}"
            for turn in range(4):
                body = b"%d-%d" % (number, turn)
                call = world.service_call(KEY, "POST", "/bookings", body)
                await world.call("entry-0", call)
            world.nodes[name].core.drain()
            world.platform.remove(f"platform/instances/{name}")
            world.kill(name)
            world.add_service(f"new-{number}")
            await asyncio.sleep(2)
        await asyncio.sleep(70)
        core = world.nodes["entry-0"].core
        listed = core.config.view.instances.keys()
        held = {
            "health": core.peers.health.watched(),
            "held": core.peers._pin_owners,
            "recent": core.peers._last_message_at,
            "listed": core.peers._addresses._listed,
            "direct": core.peers._addresses._announced,
            "avoid": core.placement.loads.avoid,
            "left": core.avoidance._leaving,
            "reasons": core.avoidance._reasons,
            "down": core.relay._down,
            "followers": core.relay.followers,
        }
        return {name: set(table) - set(listed) for name, table in held.items()}

    left = run(scenario())
    assert not any(left.values()), left

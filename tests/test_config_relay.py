import asyncio

import pytest

from ebonyglade.config import relay as relay_module
from ebonyglade.config.documents import Instance
from ebonyglade.config.relay import Relay
from ebonyglade.members import topology
from ebonyglade_lab.virtual.loop import run
from helpers.virtual_fleets import (
    ZONES,
    instances_behind,
    publish_workspace,
    zoned_world,
)

IN_FORCE_S = 4.0  # time within which a change must be in force on all instances


def listed(count, zones=11):
    return {
        f"i{number}": Instance(role="agent", address="a", zone=f"z{number % zones:02}")
        for number in range(count)
    }


@pytest.mark.parametrize("count", [1, 12, 330, 3290])
def test_degree_is_bounded_and_every_instance_is_reached(count):
    instances = listed(count)
    orders = topology.order_by_zone(instances)
    roles = {
        name: topology.assign_role(name, item.zone, orders, ())
        for name, item in instances.items()
    }
    followers = dict.fromkeys(instances, 0)
    for role in roles.values():
        assert len(role.parents) <= topology.READERS_PER_ZONE + 3
        for parent in role.parents:
            followers[parent] += 1
    assert (
        max(followers.values()) <= 2 * topology.FANOUT + topology.READERS_PER_ZONE + 3
    )
    assert (
        sum(role.is_reader for role in roles.values()) <= 11 * topology.READERS_PER_ZONE
    )
    reached = {next(name for name in roles if roles[name].is_reader)}
    for _ in range(12):
        reached |= {name for name in roles if reached.intersection(roles[name].parents)}
    assert len(reached) == count


def test_change_is_in_force_everywhere_although_only_one_instance_reads():
    async def scenario():
        world = zoned_world()
        await asyncio.sleep(5)
        readers = [
            n for n, node in world.nodes.items() if node.core.relay.reads_platform
        ]
        assert len(readers) < len(world.nodes)
        world.platform.unreachable_for = set(world.nodes) - {readers[-1]}
        revision = publish_workspace(world)
        await asyncio.sleep(IN_FORCE_S)
        return instances_behind(world, revision)

    assert run(scenario()) == []


def test_death_of_all_readers_of_a_zone_delays_no_change(monkeypatch):
    async def scenario():
        world = zoned_world()
        await asyncio.sleep(5)
        for name, node in list(world.nodes.items()):
            if node.core.relay.reads_platform and name.startswith("rooms"):
                world.kill(name)
        await asyncio.sleep(0.5)
        revision = publish_workspace(world)
        await asyncio.sleep(IN_FORCE_S)
        return instances_behind(world, revision)

    assert run(scenario()) == []
    monkeypatch.setattr(Relay, "_on_peer_changed", lambda *args: None)
    monkeypatch.setattr(relay_module, "PARENT_TIMEOUT_S", 1e9)
    assert run(scenario()) != []


def test_zone_that_is_cut_off_from_all_others_reads_by_itself():
    async def scenario():
        world = zoned_world()
        await asyncio.sleep(5)
        inside = [n for n in world.nodes if int(n.split("-")[1]) % 3 == 0]
        outside = set(world.nodes) - set(inside)
        world.network.faults.partitioned = {
            frozenset((a, b)) for a in inside for b in outside
        }
        revision = publish_workspace(world)
        await asyncio.sleep(IN_FORCE_S)
        return instances_behind(world, revision)

    assert run(scenario()) == []


@pytest.mark.parametrize("after", [0.0, 0.2, 0.4, 0.6, 0.8])
def test_a_change_reaches_all_although_its_readers_are_cut_off_with_it(after):
    """The partition starts with the change, at various times between heartbeats."""

    async def scenario():
        world = zoned_world()
        await asyncio.sleep(5 + after)
        readers = {
            n for n, node in world.nodes.items() if node.core.relay.reads_platform
        }
        rest = set(world.nodes) - readers
        world.network.faults.partitioned = {
            frozenset((a, b)) for a in readers for b in rest
        }
        revision = publish_workspace(world)
        await asyncio.sleep(IN_FORCE_S)
        return instances_behind(world, revision)

    assert run(scenario()) == []


def test_instance_that_no_neighbour_reaches_reads_by_itself(monkeypatch):
    async def scenario():
        world = zoned_world(agents=30)
        await asyncio.sleep(5)
        isolated = next(
            n for n, x in world.nodes.items() if not x.core.relay.reads_platform
        )
        others = set(world.nodes) - {isolated}
        world.network.faults.partitioned = {
            frozenset((isolated, other)) for other in others
        }
        await asyncio.sleep(4)
        revision = publish_workspace(world)
        await asyncio.sleep(IN_FORCE_S)
        return instances_behind(world, revision)

    assert run(scenario()) == []
    monkeypatch.setattr(Relay, "_on_peer_changed", lambda *args: None)
    monkeypatch.setattr(Relay, "_parents_silent", lambda self: False)
    assert len(run(scenario())) == 1


def test_restart_does_not_go_back_to_the_platforms_older_copy():
    """The platform returns an older copy to all; no instance stores data on disk."""

    async def scenario():
        world = zoned_world()
        await asyncio.sleep(3)
        for name in world.nodes:
            world.platform.pin_copy(name)
        reader = next(n for n, x in world.nodes.items() if x.core.relay.reads_platform)
        del world.platform.stale_copies[reader]
        revision = publish_workspace(world)
        await asyncio.sleep(IN_FORCE_S)
        world.platform.stale_copies[reader] = world.platform.stale_copies["entry-0"]
        for name in list(world.nodes):
            world.kill(name)
            world.start(name)
            await asyncio.sleep(0.5)
            held = world.nodes[name].core
            if held.freshness.fresh:
                assert held.config.view.revision >= revision, name
        await asyncio.sleep(IN_FORCE_S)
        return instances_behind(world, revision)

    assert run(scenario()) == []


def test_new_instance_gets_a_last_good_value_that_the_platform_lost():
    async def scenario():
        world = zoned_world()
        await asyncio.sleep(2)
        path = "teams/aula/workspaces/physics"
        world.platform.publish(path, rate=-1.0, burst=1.0)
        publish_workspace(world)
        await asyncio.sleep(IN_FORCE_S)
        world.kill("entry-0")
        world.start("entry-0")
        await asyncio.sleep(IN_FORCE_S)
        return world.nodes["entry-0"].core.config.view.workspaces

    assert run(scenario())["aula/physics"].rate == 50_000.0


def test_few_instances_call_the_platform_and_one_reads_each_change():
    async def scenario(changes):
        world = zoned_world(agents=45)
        await asyncio.sleep(5)
        calls, reads = world.platform.calls, world.platform.reads
        for number in range(changes):
            publish_workspace(world, f"w{number}")
            await asyncio.sleep(2)
        return world.platform.calls - calls, world.platform.reads - reads

    calls, reads = run(scenario(10))
    readers = len(ZONES) * topology.READERS_PER_ZONE
    assert reads <= 10 * 2
    assert calls - reads <= readers * (10 + 1)

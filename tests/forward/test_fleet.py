import asyncio

import pytest

from ebonyglade.forward.members import FORGET_AFTER_S, LIVENESS_TIMEOUT_S
from ebonyglade.wire.fleet import FleetHeartbeat, StoreState
from ebonyglade_lab.virtual.loop import run
from helpers.forwarding import at, configuration, endpoint, listed
from helpers.members import member_fleet


def test_all_members_discover_each_other_from_one_seed():
    async def scenario():
        _, nodes = member_fleet(8)
        await asyncio.sleep(1.5)
        return {name: node.names() for name, node in nodes.items()}

    found = run(scenario())
    for name, names in found.items():
        assert names == set(found) - {name}


def test_dead_and_stale_seeds_are_tolerated_while_one_is_reachable():
    async def scenario():
        _, nodes = member_fleet(4, seeds=("gone-1", "gone-2", "n3"))
        await asyncio.sleep(1.5)
        return [node.names() for node in nodes.values()]

    assert all(len(names) == 3 for names in run(scenario()))


def test_a_silent_member_is_not_live_but_counts_until_forgotten():
    async def scenario():
        _, nodes = member_fleet(3)
        await asyncio.sleep(1)
        nodes["n2"].process.kill()
        await asyncio.sleep(LIVENESS_TIMEOUT_S + 0.5)
        before = nodes["n0"].names(), nodes["n0"].members.entry_count()
        await asyncio.sleep(FORGET_AFTER_S + 6)
        return before, nodes["n0"].members.entry_count()

    before, after = run(scenario())
    assert before == ({"n1"}, 3)
    assert after == 2


def test_a_farewell_removes_a_member_at_once():
    async def scenario():
        _, nodes = member_fleet(3)
        await asyncio.sleep(1)
        nodes["n2"].members.announce_shutdown()
        nodes["n2"].process.kill()
        await asyncio.sleep(0.1)
        return nodes["n0"].members.entry_count()

    assert run(scenario()) == 2


def test_a_silent_connection_is_reopened():
    async def scenario():
        network, nodes = member_fleet(2)
        await asyncio.sleep(1)
        network.faults.dead_connections |= {("n0", "n1"), ("n1", "n0")}
        await asyncio.sleep(LIVENESS_TIMEOUT_S + 0.2)
        lost = nodes["n0"].names()
        await asyncio.sleep(3)
        return lost, nodes["n0"].names()

    lost, found = run(scenario())
    assert lost == set()
    assert found == {"n1"}


def test_members_pass_on_store_changes_that_one_of_them_read():
    async def scenario():
        _, nodes = member_fleet(4)
        await asyncio.sleep(1)
        reader = nodes["n3"].replica
        reader.apply([configuration(3, 10), listed(endpoint("a"), 11)], at(12))
        reader.confirm_current_at(nodes["n3"].context.clock())
        await asyncio.sleep(1.5)
        return nodes

    nodes = run(scenario())
    for node in nodes.values():
        assert node.replica.table.version == 3
        assert set(node.replica.registry.endpoints) == {"a"}


def test_a_replica_is_never_considered_newer_than_its_read():
    async def scenario():
        _, nodes = member_fleet(3)
        loop = asyncio.get_running_loop()
        await asyncio.sleep(1)
        nodes["n0"].replica.apply([configuration(3, 10)], at(10))
        nodes["n0"].replica.confirm_current_at(loop.time())
        read_at = loop.time()
        ages = []
        for _ in range(60):
            await asyncio.sleep(0.1)
            ages += [
                (node.replica.age(loop.time()), loop.time() - read_at)
                for node in nodes.values()
            ]
        return ages

    ages = run(scenario())
    assert all(age >= true - 1e-6 for age, true in ages)


def test_a_removal_reaches_a_member_after_a_partition():
    async def scenario():
        network, nodes = member_fleet(2)
        await asyncio.sleep(1)
        first = nodes["n0"]
        first.replica.apply([listed(endpoint("a"), 3), listed(endpoint("b"), 4)], at(4))
        first.replica.confirm_current_at(first.context.clock())
        await asyncio.sleep(1)
        network.faults.partitioned.add(frozenset(("n0", "n1")))
        first.replica.apply(
            [type(listed(endpoint("a"), 9))("endpoints/a", None, at(9))], at(9)
        )
        first.replica.confirm_current_at(first.context.clock())
        await asyncio.sleep(3)
        network.faults.partitioned.clear()
        await asyncio.sleep(3)
        return nodes["n1"].replica

    replica = run(scenario())
    assert set(replica.registry.endpoints) == {"b"}
    assert replica.as_of == at(9)


# Its sender heard the other side and took the connection for sound.
def test_a_connection_that_is_silent_one_way_is_reopened():
    async def scenario():
        network, nodes = member_fleet(2)
        await asyncio.sleep(1)
        network.faults.dead_connections |= {("n0", "n1")}
        await asyncio.sleep(LIVENESS_TIMEOUT_S + 0.2)
        cut = nodes["n1"].names()
        await asyncio.sleep(4.0)
        return cut, nodes["n1"].names()

    assert run(scenario()) == (set(), {"n0"})


# The clock of a machine begins anew when it has lost power.
@pytest.mark.parametrize("sent_s", [-3.0, 500.0])
def test_an_echo_from_before_a_restart_confirms_no_replica(sent_s):
    async def scenario():
        await asyncio.sleep(10.0)
        _, nodes = member_fleet(2)
        await asyncio.sleep(0.5)
        node = nodes["n0"]
        node.replica.apply([], at(5))
        member = node.members.all()[0]
        state = StoreState(as_of=5, age_s=0.0)
        now = node.context.clock()
        heartbeat = FleetHeartbeat(now, echo=now + sent_s, store=state)
        node.replica_sync.on_heartbeat(member, heartbeat)
        return node.replica.age(now)

    assert run(scenario()) > 1e6

import asyncio
import random

import pytest

from ebonyglade.ownership import ownership as ownership_module, voter as voter_module
from ebonyglade.ownership.lease_times import LeaseTimes
from ebonyglade.ownership.members import VotingMembers
from ebonyglade.ownership.quorum import (
    VotingMember,
    list_panels,
    quorum_until,
    voters_of,
)
from ebonyglade.ownership.seals import Seals
from ebonyglade_lab.virtual.loop import run
from helpers.leases import (
    LEASE_TIMES,
    HolderOracle,
    holders,
    lease_world,
    partition,
    remove_partitions,
    violations,
)

GROUPS = range(LEASE_TIMES.groups)
SETTLED_S = LEASE_TIMES.removed_member_s + LEASE_TIMES.seal_s + 3 * LEASE_TIMES.lease_s


def owned(world):
    return [group for group in GROUPS if holders(world, group)]


def want_all(world, names):
    """Make entries try for all groups, as if requests were waiting there."""
    for name in names:
        for group in GROUPS:
            world.nodes[name].core.ownership.request_lease(group)


async def settled(world):
    await asyncio.sleep(SETTLED_S)
    assert owned(world) == list(GROUPS)


def test_each_group_gets_one_holder_that_keeps_it():
    async def scenario():
        world = lease_world()
        oracle = HolderOracle(world)
        await settled(world)
        before = [holders(world, group) for group in GROUPS]
        await asyncio.sleep(10)
        return before, [holders(world, group) for group in GROUPS], oracle.double_holds

    before, after, double_holds = run(scenario())
    assert before == after
    assert not double_holds


def test_a_dead_holder_is_replaced_after_its_lease():
    async def scenario():
        world = lease_world()
        oracle = HolderOracle(world)
        await settled(world)
        victim = holders(world, 0)[0]
        world.kill(victim)
        await asyncio.sleep(3 * LEASE_TIMES.lease_s + 2.0)
        return victim, owned(world), holders(world, 0), oracle.double_holds

    victim, groups, heirs, double_holds = run(scenario())
    assert groups == list(GROUPS)
    assert heirs != [victim]
    assert not double_holds


async def paused_holder(world):
    await settled(world)
    victim = holders(world, 0)[0]
    world.pause(victim)
    await asyncio.sleep(4 * LEASE_TIMES.lease_s + 2.0)
    heirs = holders(world, 0)
    world.resume(victim)
    await asyncio.sleep(5)
    return heirs


def test_a_holder_paused_past_its_lease_has_lost_it_when_it_wakes():
    async def scenario():
        world = lease_world()
        oracle = HolderOracle(world)
        return await paused_holder(world), oracle.double_holds

    heirs, double_holds = run(scenario())
    assert heirs
    assert not double_holds


def test_only_the_majority_side_of_a_partition_holds():
    async def scenario():
        world = lease_world()
        oracle = HolderOracle(world)
        await settled(world)
        minority = {"entry-0", "entry-3", "rooms-0", "rooms-3"}  # one zone
        partition(world, minority, set(world.nodes) - minority)
        await asyncio.sleep(4 * LEASE_TIMES.lease_s + 2.0)
        names = {name for group in GROUPS for name in holders(world, group)}
        groups = owned(world)
        remove_partitions(world)
        await asyncio.sleep(5)
        return names & minority, groups, owned(world), oracle.double_holds

    stale, groups, healed, double_holds = run(scenario())
    assert not stale
    assert groups == healed == list(GROUPS)
    assert not double_holds


def test_replacing_every_instance_leaves_one_holder():
    async def scenario():
        world = lease_world()
        oracle = HolderOracle(world)
        await settled(world)
        for name in list(world.nodes):
            world.kill(name)
            world.start(name)
        early = owned(world)
        await settled(world)
        return early, oracle.double_holds

    early, double_holds = run(scenario())
    assert not early
    assert not double_holds


async def with_grown_list(world):
    """The old side keeps the short list; new instances are added on the other side."""
    await settled(world)
    old = set(world.nodes)
    for name in old:
        world.platform.pin_copy(name)
    new = set()
    for index in range(9):
        name = f"new-{index}"
        new.add(name)
        world.add_entry(name, f"zone-{index % 3}-new")
    partition(world, old, new)
    await asyncio.sleep(SETTLED_S)


def test_a_grown_list_cannot_outvote_the_old_one():
    async def scenario():
        world = lease_world()
        oracle = HolderOracle(world)
        await with_grown_list(world)
        return owned(world), oracle.double_holds

    groups, double_holds = run(scenario())
    assert groups == list(GROUPS)
    assert not double_holds


def test_mutation_the_newest_panel_alone_lets_two_hold(monkeypatch):
    newest = lambda *args: list_panels(*args)[-1:]  # noqa: E731
    monkeypatch.setattr(ownership_module, "list_panels", newest)

    async def scenario():
        world = lease_world()
        oracle = HolderOracle(world)
        await with_grown_list(world)
        return oracle.double_holds

    assert run(scenario())


async def sealed_list(world):
    """Lagging entries can reach only the voters of a list that is sealed."""
    await settled(world)
    lagging = {name for name in world.nodes if name.startswith("entry")}
    voters = set(world.nodes) - lagging
    for name in lagging:
        world.platform.pin_copy(name)
    new = {f"new-{index}" for index in range(9)}
    partition(world, lagging, new)
    for name in sorted(new):
        world.add_entry(name, f"zone-{int(name[-1]) % 3}-new")
    # The voters know the longer list and must not pass it to the lagging entries.
    for name in lagging:
        world.nodes[name].core.config.on_remote_revision = lambda instance, revision: (
            None
        )
    await asyncio.sleep(2 * SETTLED_S)
    heirs = {name for group in GROUPS for name in holders(world, group)}
    groups = owned(world)
    partition(world, lagging | voters, new)
    await asyncio.sleep(SETTLED_S)
    return heirs, new, groups


def test_no_lease_is_gained_from_a_sealed_list():
    async def scenario():
        world = lease_world(entries=3, agents=9)
        oracle = HolderOracle(world)
        return *await sealed_list(world), oracle.double_holds

    heirs, new, groups, double_holds = run(scenario())
    assert heirs and heirs <= new
    assert groups == list(GROUPS)
    assert not double_holds


def test_mutation_a_voter_that_breaks_its_promise_lets_two_hold(monkeypatch):
    def breaks_promise(self, revision, known):
        return revision

    monkeypatch.setattr(Seals, "promise", breaks_promise)

    async def scenario():
        world = lease_world(entries=3, agents=9)
        oracle = HolderOracle(world)
        await sealed_list(world)
        return oracle.double_holds

    assert run(scenario())


def test_the_oldest_instance_is_not_needed_once_lists_are_sealed():
    async def scenario():
        world = lease_world()
        await settled(world)
        await asyncio.sleep(SETTLED_S)
        world.kill("rooms-0")
        await asyncio.sleep(SETTLED_S)
        return owned(world)

    assert run(scenario()) == list(GROUPS)


async def removed_but_running(world):
    """Old instances keep running for a while after their removal from the list."""
    await settled(world)
    old = set(world.nodes)
    for name in old:
        world.platform.pin_copy(name)
    for name in old:
        world.platform.remove(f"platform/instances/{name}")
    new = {f"new-{index}" for index in range(5)}
    for index, name in enumerate(sorted(new)):
        world.add_entry(name, f"zone-{index % 3}")
    partition(world, old, new)
    want_all(world, new)
    await asyncio.sleep(LEASE_TIMES.removal_s)
    for name in old:
        world.kill(name)
    await asyncio.sleep(SETTLED_S)


def test_removed_instances_may_run_for_removal_s_without_two_holders():
    async def scenario():
        world = lease_world()
        oracle = HolderOracle(world)
        await removed_but_running(world)
        return owned(world), oracle.double_holds

    groups, double_holds = run(scenario())
    assert groups == list(GROUPS)
    assert not double_holds


def test_mutation_a_fresh_process_that_does_not_wait_lets_two_hold(monkeypatch):
    monkeypatch.setattr(VotingMembers, "settled", lambda self, now: True)

    async def scenario():
        world = lease_world()
        oracle = HolderOracle(world)
        await removed_but_running(world)
        return oracle.double_holds

    assert run(scenario())


def test_mutation_a_restarted_voter_that_does_not_abstain_lets_two_hold(monkeypatch):
    async def scenario():
        world = lease_world(entries=2, agents=7)
        oracle = HolderOracle(world)
        await settled(world)
        voters = [name for name in world.nodes if name.startswith("rooms")]
        first, second = "entry-0", "entry-1"
        partition(world, {first}, {*voters, second})
        for name in voters:
            world.kill(name)
            world.start(name)
        want_all(world, {second})
        await asyncio.sleep(LEASE_TIMES.lease_s)
        return oracle.double_holds

    assert not run(scenario())
    monkeypatch.setattr(LeaseTimes, "abstain_s", property(lambda self: 0.0))
    assert run(scenario())


def test_mutation_a_voter_that_forgets_breaks_the_invariant(monkeypatch):
    async def scenario():
        world = lease_world()
        await asyncio.sleep(SETTLED_S)
        return violations(world)

    def forgets_grants(self, holder, incarnation, seq, group, now):
        grant = voter_module._Grant(holder, incarnation, now + 1, seq)
        self._grant(group, grant, now)

    monkeypatch.setattr(voter_module.Voter, "ask", forgets_grants)
    assert run(scenario())["lease_single_holder"]


@pytest.mark.parametrize("seed", range(6))
def test_random_faults_never_make_two_holders(seed):
    async def scenario():
        world = lease_world(seed)
        oracle = HolderOracle(world)
        await settled(world)
        rng = random.Random(seed)
        world.network.faults.lose = 0.05
        world.network.faults.repeat = 0.1
        world.network.faults.late = 0.1
        world.network.faults.late_s = 3.0
        for _ in range(12):
            name = rng.choice(sorted(world.nodes))
            fault = rng.choice([world.pause, world.kill, None])
            if fault is None:
                side = set(rng.sample(sorted(world.nodes), 4))
                partition(world, side, set(world.nodes) - side)
            else:
                fault(name)
            await asyncio.sleep(rng.uniform(0.1, 3.0))
            remove_partitions(world)
            if fault == world.kill:
                world.start(name)
            if fault == world.pause:
                world.resume(name)
        world.network.faults.late = world.network.faults.lose = 0.0
        await settled(world)
        return oracle.double_holds

    assert not run(scenario())


def all_panels(members):
    return [item.panel for item in list_panels(1, members)]


def newest_panel(members):
    return all_panels(members)[-1:]


def test_quorums_of_lists_with_different_removals_intersect():
    rng = random.Random(5)
    for _ in range(300):
        count = rng.randint(1, 14)
        members = {
            f"i{n}": VotingMember(f"z{rng.randrange(4)}", rng.randint(1, 5))
            for n in range(count)
        }
        silent = {name for name in members if rng.random() < 0.3}
        old = {n: m for n, m in members.items() if m.since <= 3 or n in silent}
        # The newer list lacks the silent instances, which grant nothing.
        new = {n: m for n, m in members.items() if n not in silent}
        new |= {f"n{n}": VotingMember("z9", 9) for n in range(rng.randrange(6))}
        granting = set(members) - silent
        for _ in range(20):
            mine = {n for n in granting if rng.random() < 0.5}
            theirs = dict.fromkeys(granting - mine | new.keys() - old.keys(), 1.0)
            first = quorum_until(newest_panel(old), dict.fromkeys(mine, 1.0)) == 1.0
            second = quorum_until(all_panels(new), theirs) == 1.0
            assert not (first and second)


def test_panels_follow_the_growth_of_the_list():
    members = {f"i{n}": VotingMember("z", n) for n in range(1, 6)}
    found = all_panels(members)
    assert found[0] == (("i1",),)
    assert all(len(panel[0]) <= 3 for panel in found)
    assert len(voters_of(found)) <= 5

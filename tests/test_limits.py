import asyncio
import random

import pytest

from ebonyglade.limits import links
from ebonyglade.limits.bucket import Bucket
from ebonyglade.limits.owner import RateOwner
from ebonyglade.limits.wallet import Wallet
from ebonyglade.ownership.ownership import Ownership
from ebonyglade.ownership.votes import Lease
from ebonyglade_lab.virtual.loop import run
from helpers.leases import cut, heal, violations
from helpers.rates import (
    BURST,
    RATE,
    READY_S,
    WORKSPACE,
    Spent,
    admit,
    any_entry,
    load,
    one_entry,
    owner_of,
    rate_world,
)

TOLERANCE = 0.5  # tokens


def others(world, name):
    return [key for key in world.nodes if key.startswith("entry") and key != name]


async def ready(world, full=True):
    await asyncio.sleep(READY_S + (BURST / RATE if full else 0.0))
    assert owner_of(world)


def within(spent, world):
    assert spent.excess() <= TOLERANCE
    assert not violations(world)


@pytest.mark.parametrize("pick", [any_entry, one_entry("entry-1")])
def test_nothing_within_the_rate_is_refused_with_any_skew(pick):
    async def scenario():
        world, spent = rate_world(), Spent()
        await ready(world)
        await load(world, spent, 20, 0.8 * RATE, pick)
        await asyncio.sleep(3)
        return world, spent

    world, spent = run(scenario())
    assert not spent.refused
    assert spent.total > 0.7 * RATE * 20
    within(spent, world)


def test_several_times_the_rate_gets_the_rate_and_no_more():
    async def scenario():
        world, spent = rate_world(), Spent()
        await ready(world)
        await load(world, spent, 20, 5 * RATE, any_entry)
        await asyncio.sleep(3)
        return world, spent

    world, spent = run(scenario())
    assert set(spent.refused) == {"rate_exceeded"}
    assert all(wait and wait > 0 for wait in spent.retry_after)
    assert spent.total > 0.95 * RATE * 20
    within(spent, world)


def test_what_is_not_used_comes_back():
    async def scenario():
        world, spent = rate_world(), Spent()
        await ready(world)
        await load(world, spent, 20, 4 * RATE, any_entry, hold=0.2, used=0.2)
        await asyncio.sleep(3)
        return world, spent

    world, spent = run(scenario())
    assert spent.total > 0.7 * RATE * 20
    within(spent, world)


def test_a_large_request_gets_what_others_hold_back():
    async def scenario():
        world, spent = rate_world(), Spent()
        await ready(world)
        await load(world, spent, 3, 0.3 * RATE, any_entry)
        task = admit(world, "entry-2", spent, cost=BURST, deadline=10.0)
        await task
        return world, spent

    world, spent = run(scenario())
    assert not spent.refused
    within(spent, world)


async def owner_paused(world, spent):
    """The owner stands still past its lease and wakes with its old state."""
    await ready(world)
    owner = owner_of(world)
    rest = others(world, owner)
    work = asyncio.ensure_future(
        load(world, spent, 25, 3 * RATE, lambda w, rng: rng.choice(rest))
    )
    for _ in range(3):
        await asyncio.sleep(1)
        paused = owner_of(world) or owner
        world.pause(paused)
        await asyncio.sleep(5)
        world.wake(paused)
    await work


def test_an_owner_that_was_paused_grants_nothing_old():
    async def scenario():
        world, spent = rate_world(), Spent()
        await owner_paused(world, spent)
        return world, spent

    world, spent = run(scenario())
    assert spent.total > 0.4 * RATE * 25
    within(spent, world)


async def entry_paused(world, spent):
    """An entry stands still with rights of an owner that is long gone."""
    await ready(world)
    owner = owner_of(world)
    hot = others(world, owner)[0]
    await load(world, spent, 3, RATE, one_entry(hot))
    world.pause(hot)
    world.kill(owner)
    await asyncio.sleep(10)
    world.wake(hot)
    for _ in range(100):
        for name in others(world, owner):
            admit(world, name, spent, deadline=1.0)
    await asyncio.sleep(2)


@pytest.fixture
def hoarding(monkeypatch):
    """Entries keep all rights that they got, whatever they need."""
    monkeypatch.setattr(Wallet, "give_back", lambda self, now: self._measure(now))


def test_an_entry_paused_past_its_rights_spends_none_of_them(hoarding):
    async def scenario():
        world, spent = rate_world(), Spent()
        await entry_paused(world, spent)
        return world, spent

    world, spent = run(scenario())
    within(spent, world)


def test_mutation_rights_that_never_lapse_exceed(hoarding, monkeypatch):
    real = Wallet.granted
    monkeypatch.setattr(Wallet, "granted", lambda self, t, at: real(self, t, at + 60))

    async def scenario():
        world, spent = rate_world(), Spent()
        await entry_paused(world, spent)
        return spent

    assert run(scenario()).excess() > TOLERANCE


async def owner_dies(world, spent):
    await ready(world)
    hot = others(world, owner_of(world))[0]
    for _ in range(3):
        await load(world, spent, 3, 4 * RATE, one_entry(hot))
        owner = owner_of(world)
        if owner is None or owner == hot:
            continue
        world.kill(owner)
        await load(world, spent, 4, 4 * RATE, one_entry(hot))
        world.start(owner)


def test_a_dead_owner_is_followed_by_one_with_an_empty_bucket():
    async def scenario():
        world, spent = rate_world(), Spent()
        await owner_dies(world, spent)
        return world, spent

    world, spent = run(scenario())
    assert spent.total > 0.5 * RATE * 21
    within(spent, world)


def test_mutation_a_new_owner_with_a_full_bucket_exceeds(monkeypatch):
    real = RateOwner._on_gain

    def full(self, lease):
        early = Lease(lease.group, lease.epoch, lease.gained - 60, lease.expires)
        real(self, early)

    monkeypatch.setattr(RateOwner, "_on_gain", full)

    async def scenario():
        world, spent = rate_world(), Spent()
        await owner_dies(world, spent)
        return spent

    assert run(scenario()).excess() > TOLERANCE


def test_mutation_a_lease_that_never_ends_exceeds(monkeypatch):
    def careless(self, group, now):
        votes = self._votes.get(group)
        if votes is None or not votes.held:
            return None
        return Lease(group, votes.epoch, votes.gained, now + 5)

    monkeypatch.setattr(Ownership, "holds", careless)
    monkeypatch.setattr(Ownership, "_check", lambda self, votes, now: None)
    excess = [run(_partitioned(seed))[1].excess() for seed in range(2)]
    assert max(excess) > TOLERANCE


async def _partitioned(seed=1):
    world, spent = rate_world(seed), Spent()
    await ready(world)
    owner = owner_of(world)
    zone = world.nodes[owner].core.config.view.instances[owner].zone
    listed = world.nodes[owner].core.config.view.instances
    side = {name for name in listed if listed[name].zone == zone}
    cut(world, side, set(world.nodes) - side)
    await load(world, spent, 10, 5 * RATE, any_entry)
    heal(world)
    await load(world, spent, 5, 5 * RATE, any_entry)
    await asyncio.sleep(3)
    return world, spent


@pytest.mark.parametrize("seed", range(2))
def test_a_partition_never_doubles_the_rate(seed):
    world, spent = run(_partitioned(seed))
    assert spent.total > 0.5 * RATE * 15
    assert "rate_unknown" in spent.refused  # truthful on the side without owner
    within(spent, world)


def test_a_platform_silent_for_minutes_changes_nothing():
    async def scenario():
        world, spent = rate_world(), Spent()
        await ready(world)
        world.platform.silent |= set(world.nodes)
        await asyncio.sleep(120)
        await load(world, spent, 10, 0.8 * RATE, any_entry)
        await asyncio.sleep(3)
        return world, spent

    world, spent = run(scenario())
    assert not spent.refused
    within(spent, world)


def test_every_instance_replaced_at_once():
    async def scenario():
        world, spent = rate_world(), Spent()
        await ready(world)
        await load(world, spent, 3, 5 * RATE, any_entry)
        for name in list(world.nodes):
            world.kill(name)
            world.start(name)
        await load(world, spent, 10, 5 * RATE, any_entry)
        await asyncio.sleep(3)
        return world, spent

    world, spent = run(scenario())
    assert spent.total > 0.5 * RATE * 13
    within(spent, world)


def test_lists_that_lag_by_different_amounts():
    async def scenario():
        world, spent = rate_world(), Spent()
        await ready(world)
        for name in ("entry-0", "rooms-0", "rooms-1"):
            world.platform.freeze(name)
        for index in range(4, 8):
            world.add_entry(f"entry-{index}", f"zone-{index % 3}")
            await load(world, spent, 2, 4 * RATE, any_entry)
        world.platform.stale.clear()
        await load(world, spent, 5, 4 * RATE, any_entry)
        await asyncio.sleep(3)
        return world, spent

    world, spent = run(scenario())
    assert spent.total > 0.6 * RATE * 13
    within(spent, world)


async def bad_network(seed):
    world, spent = rate_world(seed), Spent()
    await ready(world)
    faults = world.network.faults
    faults.lose, faults.repeat, faults.late, faults.late_s = 0.1, 0.2, 0.2, 1.5
    await load(world, spent, 15, 3 * RATE, any_entry, seed, hold=0.1, used=0.5)
    faults.lose = faults.repeat = faults.late = 0.0
    await asyncio.sleep(3)
    return world, spent


@pytest.mark.parametrize("seed", range(3))
def test_lost_repeated_and_late_messages_do_no_harm(seed):
    world, spent = run(bad_network(seed))
    assert spent.total > 0.3 * RATE * 15
    within(spent, world)


def test_mutation_hoarded_grants_next_to_a_full_bucket_exceed(monkeypatch):
    def clamp(self):
        self.level = max(0.0, min(self.level, self.burst))

    async def scenario():
        world, spent = rate_world(strict=False), Spent()
        await ready(world)
        held = [
            admit(world, f"entry-{n}", spent, 450, hold=4, used=0) for n in range(4)
        ]
        await asyncio.sleep(4.1)
        await asyncio.gather(*held)
        spent.times.clear()
        spent.tokens.clear()
        for name in range(4):
            for _ in range(20):
                admit(world, f"entry-{name}", spent, 45, deadline=0.05)
        await asyncio.sleep(1)
        return world, spent

    world, spent = run(scenario())
    within(spent, world)
    monkeypatch.setattr(Bucket, "_clamp", clamp)
    world, spent = run(scenario())
    assert spent.excess() > TOLERANCE
    assert violations(world)["rate_conserved"]


@pytest.mark.parametrize("factor", [0.25, 4.0])
def test_a_changed_rate_is_in_force_within_seconds(factor):
    async def scenario():
        world, spent = rate_world(), Spent()
        await ready(world)
        await load(world, spent, 5, 8 * RATE, any_entry)
        path = f"teams/{WORKSPACE.replace('/', '/workspaces/')}"
        world.platform.publish(path, rate=RATE * factor, burst=BURST * factor)
        await load(world, spent, 4, 8 * RATE, any_entry)
        after = world.now()
        await load(world, spent, 10, 8 * RATE, any_entry)
        return world, spent, after

    world, spent, after = run(scenario())
    late = spent.between(after, after + 10)
    assert late <= RATE * factor * 10 + BURST * factor
    assert late >= 0.9 * RATE * factor * 10
    assert not violations(world)


def test_a_request_that_waits_in_vain_is_refused_at_once():
    async def scenario():
        world, spent = rate_world(), Spent()
        await ready(world)
        for _ in range(60):
            admit(world, "entry-0", spent, cost=BURST / 20, deadline=1.0)
        await asyncio.sleep(0.2)
        early = len(spent.refused)
        await asyncio.sleep(2)
        return early, spent

    early, spent = run(scenario())
    assert early >= 20
    assert len(spent.refused) == early


def test_the_owner_redirects_to_itself_once_it_holds(monkeypatch):
    """An entry that became the owner must not go on asking a former hint."""

    async def scenario():
        world, spent = rate_world(entries=2), Spent()
        await ready(world)
        owner = owner_of(world)
        core = world.nodes[owner].core
        group = core.ownership.group_of(WORKSPACE)
        core.rights._links[group] = links.Link(group, target=others(world, owner)[0])
        await admit(world, owner, spent)
        return spent

    assert not run(scenario()).refused


@pytest.mark.parametrize("seed", range(4))
def test_random_faults_never_exceed(seed):
    async def scenario():
        world, spent = rate_world(seed), Spent()
        await ready(world)
        rng = random.Random(seed)
        work = asyncio.ensure_future(
            load(world, spent, 30, 3 * RATE, any_entry, seed, hold=0.2, used=0.6)
        )
        while not work.done():
            name = rng.choice(sorted(world.nodes))
            kind = rng.randrange(4)
            if kind == 0:
                world.pause(name)
            if kind == 1:
                world.kill(name)
            if kind == 2:
                side = set(rng.sample(sorted(world.nodes), 4))
                cut(world, side, set(world.nodes) - side)
            if kind == 3:
                world.network.faults.lose = 0.2
            await asyncio.sleep(rng.uniform(0.1, 4))
            heal(world)
            world.network.faults.lose = 0.0
            if kind == 0:
                world.wake(name)
            if kind == 1:
                world.start(name)
        await asyncio.sleep(3)
        return world, spent

    world, spent = run(scenario())
    within(spent, world)

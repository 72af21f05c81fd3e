import asyncio
import random

import pytest

from ebonyglade.limits import owner_link
from ebonyglade.limits.bucket import Bucket
from ebonyglade_lab.virtual.loop import run
from helpers.leases import partition, remove_partitions, violations
from helpers.rates import (
    BURST,
    RATE,
    TOLERANCE,
    WORKSPACE,
    AdmissionLog,
    admit,
    assert_within_rate,
    other_entries,
    owner_of,
    pick_running_entry,
    rate_world,
    send_load,
    wait_for_owner,
)


async def bad_network(seed):
    world, spent = rate_world(seed), AdmissionLog()
    await wait_for_owner(world)
    faults = world.network.faults
    faults.lose, faults.repeat, faults.late, faults.late_s = 0.1, 0.2, 0.2, 1.5
    await send_load(
        world, spent, 15, 3 * RATE, pick_running_entry, seed, hold=0.1, used=0.5
    )
    faults.lose = faults.repeat = faults.late = 0.0
    await asyncio.sleep(3)
    return world, spent


@pytest.mark.parametrize("seed", range(3))
def test_lost_repeated_and_late_messages_never_exceed_the_rate(seed):
    world, spent = run(bad_network(seed))
    assert spent.total > 0.3 * RATE * 15
    assert_within_rate(spent, world)


def test_mutation_held_grants_beside_a_full_bucket_exceed_the_burst(monkeypatch):
    def clamp(self):
        self.level = max(0.0, min(self.level, self.burst))

    async def scenario():
        world, spent = rate_world(strict=False), AdmissionLog()
        await wait_for_owner(world)
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
    assert_within_rate(spent, world)
    monkeypatch.setattr(Bucket, "_clamp", clamp)
    world, spent = run(scenario())
    assert spent.excess() > TOLERANCE
    assert violations(world)["rate_conserved"]


@pytest.mark.parametrize("factor", [0.25, 4.0])
def test_a_changed_rate_is_in_force_within_seconds(factor):
    async def scenario():
        world, spent = rate_world(), AdmissionLog()
        await wait_for_owner(world)
        await send_load(world, spent, 5, 8 * RATE, pick_running_entry)
        path = f"teams/{WORKSPACE.replace('/', '/workspaces/')}"
        world.platform.publish(path, rate=RATE * factor, burst=BURST * factor)
        await send_load(world, spent, 4, 8 * RATE, pick_running_entry)
        after = world.now()
        await send_load(world, spent, 10, 8 * RATE, pick_running_entry)
        return world, spent, after

    world, spent, after = run(scenario())
    late = spent.between(after, after + 10)
    assert late <= RATE * factor * 10 + BURST * factor
    assert late >= 0.9 * RATE * factor * 10
    assert not violations(world)


def test_a_request_that_cannot_be_served_in_time_is_refused_at_once():
    async def scenario():
        world, spent = rate_world(), AdmissionLog()
        await wait_for_owner(world)
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
    """An entry that became the owner must not ask the entry of an earlier hint."""

    async def scenario():
        world, spent = rate_world(entries=2), AdmissionLog()
        await wait_for_owner(world)
        owner = owner_of(world)
        core = world.nodes[owner].core
        group = core.ownership.group_of(WORKSPACE)
        core.rate_limiter._owner_links[group] = owner_link.OwnerLink(
            group, target=other_entries(world, owner)[0]
        )
        await admit(world, owner, spent)
        return spent

    assert not run(scenario()).refused


@pytest.mark.parametrize("seed", range(4))
def test_random_faults_never_exceed_the_rate(seed):
    async def scenario():
        world, spent = rate_world(seed), AdmissionLog()
        await wait_for_owner(world)
        rng = random.Random(seed)
        work = asyncio.ensure_future(
            send_load(
                world, spent, 30, 3 * RATE, pick_running_entry, seed, hold=0.2, used=0.6
            )
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
                partition(world, side, set(world.nodes) - side)
            if kind == 3:
                world.network.faults.lose = 0.2
            await asyncio.sleep(rng.uniform(0.1, 4))
            remove_partitions(world)
            world.network.faults.lose = 0.0
            if kind == 0:
                world.resume(name)
            if kind == 1:
                world.start(name)
        await asyncio.sleep(3)
        return world, spent

    world, spent = run(scenario())
    assert_within_rate(spent, world)

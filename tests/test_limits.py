import asyncio

import pytest
from result import Ok

from ebonyglade.events import Event
from ebonyglade.limits.local_tokens import LocalTokens
from ebonyglade.limits.owner import RateOwner
from ebonyglade.limits.rate_limiter import MAX_TAKEOVERS
from ebonyglade.ownership.lease_times import LeaseTimes
from ebonyglade.ownership.ownership import Ownership
from ebonyglade.ownership.votes import Lease
from ebonyglade_lab.virtual.loop import run
from helpers.leases import partition, remove_partitions
from helpers.rates import (
    BURST,
    LEASE_TIMES,
    RATE,
    TOLERANCE,
    WORKSPACE,
    AdmissionLog,
    admit,
    always_pick,
    assert_within_rate,
    other_entries,
    owner_of,
    pick_running_entry,
    rate_world,
    send_load,
    wait_for_owner,
)

LONG_LEASE_TIMES = LeaseTimes(lease_s=3.0, removal_s=1.0, seal_s=1.0, groups=4)


@pytest.mark.parametrize("pick", [pick_running_entry, always_pick("entry-1")])
def test_nothing_within_the_rate_is_refused_with_any_skew(pick):
    async def scenario():
        world, spent = rate_world(), AdmissionLog()
        await wait_for_owner(world)
        await send_load(world, spent, 20, 0.8 * RATE, pick)
        await asyncio.sleep(3)
        return world, spent

    world, spent = run(scenario())
    assert not spent.refused
    assert spent.total > 0.7 * RATE * 20
    assert_within_rate(spent, world)


def test_several_times_the_rate_gets_the_rate_and_no_more():
    async def scenario():
        world, spent = rate_world(), AdmissionLog()
        await wait_for_owner(world)
        await send_load(world, spent, 20, 5 * RATE, pick_running_entry)
        await asyncio.sleep(3)
        return world, spent

    world, spent = run(scenario())
    assert set(spent.refused) == {"rate_exceeded"}
    assert all(wait and wait > 0 for wait in spent.retry_after)
    assert spent.total > 0.95 * RATE * 20
    assert_within_rate(spent, world)


def test_unspent_tokens_are_returned():
    async def scenario():
        world, spent = rate_world(), AdmissionLog()
        await wait_for_owner(world)
        await send_load(
            world, spent, 20, 4 * RATE, pick_running_entry, hold=0.2, used=0.2
        )
        await asyncio.sleep(3)
        return world, spent

    world, spent = run(scenario())
    assert spent.total > 0.7 * RATE * 20
    assert_within_rate(spent, world)


def test_a_large_request_gets_spare_tokens_of_other_entries():
    async def scenario():
        world, spent = rate_world(), AdmissionLog()
        await wait_for_owner(world)
        await send_load(world, spent, 3, 0.3 * RATE, pick_running_entry)
        task = admit(world, "entry-2", spent, cost=BURST, deadline=10.0)
        await task
        return world, spent

    world, spent = run(scenario())
    assert not spent.refused
    assert_within_rate(spent, world)


@pytest.mark.parametrize("place", range(3))
def test_a_started_answer_does_not_wait_behind_prompts_of_other_entries(place):
    """Requests of nearly a burst wait at all entries; one answer needs one step."""

    async def scenario():
        world, spent = rate_world(), AdmissionLog()
        await wait_for_owner(world)
        entries = sorted(key for key in world.nodes if key.startswith("entry"))
        for name in entries:
            for _ in range(2):
                admit(world, name, spent, cost=0.95 * BURST, deadline=30.0)
        await asyncio.sleep(0.5)
        rate_limiter = world.nodes[entries[place]].core.rate_limiter
        started = world.now()
        latest = started + 20.0
        reply = await rate_limiter.acquire(WORKSPACE, 16.0, latest, urgent=True)
        return reply, world.now() - started

    reply, waited = run(scenario())
    assert isinstance(reply, Ok)
    # Sixteen tokens accrue in 0.016 s; the rest allows for messages and timer ticks.
    assert waited <= 0.5


async def owner_paused(world, spent):
    """The owner is paused beyond its lease and resumes with its old state."""
    await wait_for_owner(world)
    owner = owner_of(world)
    rest = other_entries(world, owner)
    work = asyncio.ensure_future(
        send_load(world, spent, 25, 3 * RATE, lambda w, rng: rng.choice(rest))
    )
    for _ in range(3):
        await asyncio.sleep(1)
        paused = owner_of(world) or owner
        world.pause(paused)
        await asyncio.sleep(5)
        world.resume(paused)
    await work


def test_an_owner_that_was_paused_grants_nothing_from_its_expired_lease():
    async def scenario():
        world, spent = rate_world(), AdmissionLog()
        await owner_paused(world, spent)
        return world, spent

    world, spent = run(scenario())
    assert spent.total > 0.4 * RATE * 25
    assert_within_rate(spent, world)


async def entry_paused(world, spent):
    """An entry is paused while it holds tokens of an owner that dies meanwhile."""
    await wait_for_owner(world)
    owner = owner_of(world)
    hot = other_entries(world, owner)[0]
    await send_load(world, spent, 3, RATE, always_pick(hot))
    world.pause(hot)
    world.kill(owner)
    await asyncio.sleep(10)
    world.resume(hot)
    for _ in range(100):
        for name in other_entries(world, owner):
            admit(world, name, spent, deadline=1.0)
    await asyncio.sleep(2)


@pytest.fixture
def no_returns(monkeypatch):
    """Entries never return unused tokens."""
    monkeypatch.setattr(
        LocalTokens, "return_unused", lambda self, now: self._update_demand(now)
    )


def test_an_entry_paused_until_its_tokens_expire_spends_none_of_them(no_returns):
    async def scenario():
        world, spent = rate_world(), AdmissionLog()
        await entry_paused(world, spent)
        return world, spent

    world, spent = run(scenario())
    assert_within_rate(spent, world)


def test_mutation_tokens_that_never_expire_exceed_the_rate(no_returns, monkeypatch):
    real = LocalTokens.note_granted
    monkeypatch.setattr(
        LocalTokens, "note_granted", lambda self, t, at: real(self, t, at + 60)
    )

    async def scenario():
        world, spent = rate_world(), AdmissionLog()
        await entry_paused(world, spent)
        return spent

    assert run(scenario()).excess() > TOLERANCE


async def owner_dies(world, spent):
    await wait_for_owner(world)
    hot = other_entries(world, owner_of(world))[0]
    for _ in range(3):
        await send_load(world, spent, 3, 4 * RATE, always_pick(hot))
        owner = owner_of(world)
        if owner is None or owner == hot:
            continue
        world.kill(owner)
        await send_load(world, spent, 4, 4 * RATE, always_pick(hot))
        world.start(owner)


def test_a_dead_owner_is_followed_by_one_with_an_empty_bucket():
    async def scenario():
        world, spent = rate_world(), AdmissionLog()
        await owner_dies(world, spent)
        return world, spent

    world, spent = run(scenario())
    assert spent.total > 0.5 * RATE * 21
    assert_within_rate(spent, world)


def test_mutation_a_new_owner_with_a_full_bucket_exceeds_the_rate(monkeypatch):
    real = RateOwner._on_gain

    def full(self, lease):
        early = Lease(lease.group, lease.epoch, lease.gained - 60, lease.expires)
        real(self, early)

    monkeypatch.setattr(RateOwner, "_on_gain", full)

    async def scenario():
        world, spent = rate_world(), AdmissionLog()
        await owner_dies(world, spent)
        return spent

    assert run(scenario()).excess() > TOLERANCE


def test_mutation_a_lease_that_never_expires_exceeds_the_rate(monkeypatch):
    def never_expires(self, group, now):
        votes = self._votes.get(group)
        if votes is None or not votes.held:
            return None
        return Lease(group, votes.epoch, votes.gained, now + 5)

    monkeypatch.setattr(Ownership, "current_lease", never_expires)
    monkeypatch.setattr(Ownership, "_update_lease", lambda self, votes, now: None)
    excess = [run(_partitioned(seed))[1].excess() for seed in range(2)]
    assert max(excess) > TOLERANCE


async def _partitioned(seed=1):
    world, spent = rate_world(seed), AdmissionLog()
    await wait_for_owner(world)
    owner = owner_of(world)
    zone = world.nodes[owner].core.config.view.instances[owner].zone
    listed = world.nodes[owner].core.config.view.instances
    side = {name for name in listed if listed[name].zone == zone}
    partition(world, side, set(world.nodes) - side)
    await send_load(world, spent, 10, 5 * RATE, pick_running_entry)
    remove_partitions(world)
    await send_load(world, spent, 5, 5 * RATE, pick_running_entry)
    await asyncio.sleep(3)
    return world, spent


@pytest.mark.parametrize("seed", range(2))
def test_a_partition_never_doubles_the_rate(seed):
    world, spent = run(_partitioned(seed))
    assert spent.total > 0.5 * RATE * 15
    assert "rate_unknown" in spent.refused  # the true reason without an owner
    assert_within_rate(spent, world)


def test_requests_without_an_owner_are_refused_at_once_until_the_partition_heals():
    async def scenario():
        world, spent = rate_world(), AdmissionLog()
        await wait_for_owner(world)
        alone = other_entries(world, owner_of(world))[0]
        partition(world, {alone}, set(world.nodes) - {alone})
        # The entry does not know yet that no owner answers, so this request waits.
        waits = admit(world, alone, spent, 1000, deadline=30.0)
        await asyncio.sleep(
            MAX_TAKEOVERS * LEASE_TIMES.takeover_s + LEASE_TIMES.lease_s
        )
        assert waits.done()
        started = world.now()
        await admit(world, alone, spent, 1000, deadline=30.0)
        took = world.now() - started
        refused = list(spent.refused), list(spent.retry_after)
        remove_partitions(world)
        for _ in range(40):
            await admit(world, alone, spent, 10, deadline=0.2)
            await asyncio.sleep(0.2)
        return took, refused, spent

    took, (codes, retry_after), spent = run(scenario())
    assert codes == ["rate_unknown", "rate_unknown"]
    assert retry_after == [LEASE_TIMES.lease_s, LEASE_TIMES.lease_s]
    assert took == 0
    assert spent.times


def test_an_entry_asks_again_after_an_old_ask_without_a_grant():
    """An entry is cut off, its callers leave and return after the partition heals."""

    async def scenario():
        world, spent = rate_world(), AdmissionLog()
        await wait_for_owner(world)
        alone = other_entries(world, owner_of(world))[0]
        partition(world, {alone}, set(world.nodes) - {alone})
        await admit(world, alone, spent, 10, deadline=0.5)
        await asyncio.sleep(30.0)
        remove_partitions(world)
        # Meanwhile the entry drops its local state of the workspace.
        await asyncio.sleep(MAX_TAKEOVERS * LEASE_TIMES.takeover_s + 20.0)
        spent.refused.clear()
        await admit(world, alone, spent, 10, deadline=5.0)
        return spent

    spent = run(scenario())
    assert spent.refused == []
    assert spent.times


async def planned_stop(world, spent):
    """The owner drains while an isolated entry holds most of the burst."""
    await asyncio.sleep(2 * LONG_LEASE_TIMES.lease_s)
    await wait_for_owner(world)
    owner = owner_of(world)
    isolated, *rest = other_entries(world, owner)
    held = [admit(world, isolated, spent, 100, hold=0.1, used=0) for _ in range(18)]
    await asyncio.gather(*held)
    spent.times.clear()
    spent.tokens.clear()
    partition(world, {isolated}, set(world.nodes) - {isolated})
    world.nodes[owner].context.events.send(Event.DRAINING)
    for name in rest:
        ownership = world.nodes[name].core.ownership
        ownership.request_lease(ownership.group_of(WORKSPACE))
    await asyncio.sleep(1.5)
    for name in (isolated, *rest):
        for _ in range(60):
            admit(world, name, spent, 30, deadline=0.3)
    await asyncio.sleep(1)
    remove_partitions(world)
    await asyncio.sleep(2 * LONG_LEASE_TIMES.lease_s)
    return owner


def test_a_planned_stop_hands_over_without_exceeding(no_returns):
    async def scenario():
        world, spent = rate_world(lease_times=LONG_LEASE_TIMES), AdmissionLog()
        owner = await planned_stop(world, spent)
        return world, spent, owner, owner_of(world)

    world, spent, before, after = run(scenario())
    assert after not in (None, before)
    assert spent.total > 0.5 * BURST
    assert_within_rate(spent, world)


def test_mutation_a_stop_that_releases_leases_with_tokens_granted_exceeds(
    no_returns, monkeypatch
):
    def release_all(self):
        self._draining = True
        for group in list(self._votes):
            self.release(group)

    monkeypatch.setattr(Ownership, "_on_draining", release_all)

    async def scenario():
        world, spent = rate_world(lease_times=LONG_LEASE_TIMES), AdmissionLog()
        await planned_stop(world, spent)
        return spent

    assert run(scenario()).excess() > TOLERANCE


def test_a_platform_silent_for_minutes_causes_no_refusals():
    async def scenario():
        world, spent = rate_world(), AdmissionLog()
        await wait_for_owner(world)
        world.platform.unreachable_for |= set(world.nodes)
        await asyncio.sleep(120)
        await send_load(world, spent, 10, 0.8 * RATE, pick_running_entry)
        await asyncio.sleep(3)
        return world, spent

    world, spent = run(scenario())
    assert not spent.refused
    assert_within_rate(spent, world)


def test_rate_holds_when_every_instance_is_replaced_at_once():
    async def scenario():
        world, spent = rate_world(), AdmissionLog()
        await wait_for_owner(world)
        await send_load(world, spent, 3, 5 * RATE, pick_running_entry)
        for name in list(world.nodes):
            world.kill(name)
            world.start(name)
        await send_load(world, spent, 10, 5 * RATE, pick_running_entry)
        await asyncio.sleep(3)
        return world, spent

    world, spent = run(scenario())
    assert spent.total > 0.5 * RATE * 13
    assert_within_rate(spent, world)


def test_rate_holds_when_instance_lists_lag_by_different_amounts():
    async def scenario():
        world, spent = rate_world(), AdmissionLog()
        await wait_for_owner(world)
        for name in ("entry-0", "rooms-0", "rooms-1"):
            world.platform.pin_copy(name)
        for index in range(4, 8):
            world.add_entry(f"entry-{index}", f"zone-{index % 3}")
            await send_load(world, spent, 2, 4 * RATE, pick_running_entry)
        world.platform.stale_copies.clear()
        await send_load(world, spent, 5, 4 * RATE, pick_running_entry)
        await asyncio.sleep(3)
        return world, spent

    world, spent = run(scenario())
    assert spent.total > 0.6 * RATE * 13
    assert_within_rate(spent, world)

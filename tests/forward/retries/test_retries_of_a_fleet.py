"""Repeats of all entries together, against what the platform allows in any window."""

import asyncio

import pytest

from ebonyglade.forward.retries.retry_budget import USED_SHARE
from ebonyglade.forward.retries.slack import SAVED_SHARE
from ebonyglade_lab.virtual.loop import run
from helpers.retry_fleet import SLACK, WINDOW_S, RetryFleet

JOIN_S = 3.0
DRAIN_S = 6.0  # longer than the deadlines of requests
PER_S = 30.0


def play(entries, seconds=12.0, disturb=None, join_s=JOIN_S, per_s=PER_S, **options):
    """Return the fleet after it has got load, and faults meanwhile."""

    async def scenario():
        fleet = RetryFleet(entries, **options)
        if disturb is not None and join_s == 0:
            disturb(fleet)
        await asyncio.sleep(join_s)
        load = asyncio.ensure_future(fleet.load(per_s, seconds))
        if disturb is not None and join_s:
            await disturb(fleet)
        await load
        await asyncio.sleep(DRAIN_S)
        return fleet

    return run(scenario())


def restarts(share, times, down_s=0.6, every_s=1.6):
    """Return a disturbance that restarts a share of the entries several times."""

    async def disturb(fleet):
        await asyncio.sleep(every_s)
        for _ in range(times):
            await fleet.restart(share, down_s)
            await asyncio.sleep(every_s - down_s)

    return disturb


# Prefills that were rejected, and those of a second round, were charged to nothing.
@pytest.mark.parametrize("entries", [1, 6])
@pytest.mark.parametrize(
    ("reject_run", "reject_prefill"), [(1.0, 1.0), (0.0, 1.0), (1.0, 0.0), (0.7, 0.7)]
)
def test_repeats_of_model_requests_stay_within_the_budget(
    entries, reject_run, reject_prefill
):
    fleet = play(
        entries, model=True, reject_run=reject_run, reject_prefill=reject_prefill
    )
    assert fleet.arrivals.worst_excess() <= 0


# Each new process began with its whole share of the slack, and took the few entries
# that it had heard of for all.
@pytest.mark.parametrize("model", [False, True])
@pytest.mark.parametrize(("entries", "zones"), [(6, 1), (40, 4)])
@pytest.mark.parametrize("share", [0.8, 1.0])
def test_repeats_stay_within_the_budget_while_entries_restart_together(
    entries, zones, share, model
):
    disturb = restarts(share, times=4)
    fleet = play(entries, disturb=disturb, zones=zones, model=model, per_s=60.0)
    assert fleet.arrivals.worst_excess() <= 0


# An entry that had heard of no other took the whole slack for its own.
@pytest.mark.parametrize("model", [False, True])
def test_entries_that_never_heard_of_each_other_keep_the_budget_together(model):
    fleet = play(
        8, disturb=lambda fleet: fleet.cut_off(1.0), join_s=0, model=model, per_s=60.0
    )
    assert fleet.arrivals.worst_excess() <= 0


# Entries that are silent for long are forgotten; they may still spend their share.
@pytest.mark.parametrize(("entries", "zones"), [(8, 1), (40, 4)])
def test_entries_that_lose_each_other_keep_the_budget_together(entries, zones):
    async def disturb(fleet):
        fleet.cut_off(0.5)

    fleet = play(entries, seconds=50.0, disturb=disturb, zones=zones, per_s=60.0)
    assert fleet.arrivals.worst_excess() <= 0


# Whole processes that stand still take up what they had begun when they wake.
def test_repeats_stay_within_the_budget_while_entries_stand_still():
    async def disturb(fleet):
        for _ in range(3):
            halted = fleet.rng.sample(sorted(fleet.entries), 4)
            for name in halted:
                fleet.entries[name].process.pause()
            await asyncio.sleep(1.5)
            for name in halted:
                fleet.entries[name].process.resume()
            await asyncio.sleep(0.5)

    fleet = play(6, disturb=disturb, model=True, per_s=60.0)
    assert fleet.arrivals.worst_excess() <= 0


FAULT_STEP_S = 0.7
FAULTS_S = 25.0


async def disturb_at_random(fleet):
    """Restart entries, cut them off and let them stand still, one over the other."""
    rng, tasks, halted = fleet.rng, [], []
    until = fleet.now + FAULTS_S
    while fleet.now < until:
        await asyncio.sleep(rng.expovariate(1 / FAULT_STEP_S))
        action = rng.choice(["restart", "restart", "cut off", "reconnect", "halt"])
        if action == "restart":
            share, down_s = rng.choice([0.2, 0.5, 1.0]), rng.uniform(0.1, 1.5)
            tasks.append(asyncio.ensure_future(fleet.restart(share, down_s)))
        elif action == "cut off":
            fleet.cut_off(rng.choice([0.2, 0.5, 1.0]))
        elif action == "reconnect":
            fleet.reconnect()
        for process in halted:
            process.resume()
        halted = []
        if action == "halt" and fleet.entries:
            names = rng.sample(sorted(fleet.entries), 1 + len(fleet.entries) // 3)
            halted = [fleet.entries[name].process for name in names]
            for process in halted:
                process.pause()
    for process in halted:
        process.resume()
    await asyncio.gather(*tasks)


# Restarts, cuts and pauses over each other; 50 seeds are played by hand.
@pytest.mark.parametrize("seed", range(1, 4))
@pytest.mark.parametrize("model", [False, True])
def test_repeats_stay_within_the_budget_whatever_faults_overlap(seed, model):
    fleet = play(
        9,
        seconds=FAULTS_S + 5.0,
        disturb=disturb_at_random,
        zones=3,
        seed=seed,
        model=model,
        reject_run=0.8,
        reject_prefill=0.5,
    )
    assert fleet.arrivals.worst_excess() <= 0


# Most of an equal share went unused where a few entries needed retries.
@pytest.mark.parametrize(("entries", "zones"), [(6, 1), (40, 4)])
def test_an_entry_that_needs_retries_gets_those_of_its_zone(entries, zones):
    async def scenario():
        fleet = RetryFleet(entries, zones=zones)
        await asyncio.sleep(JOIN_S + WINDOW_S)
        entry = fleet.entries[f"e{entries - 1}"]
        taken = 0
        while await entry.core.slack_exchange.take("desk"):
            taken += 1
        return taken

    of_zone = USED_SHARE * SLACK / zones
    assert 0.9 * SAVED_SHARE * of_zone <= run(scenario()) <= of_zone


# A retry that is not used goes back to the process that granted it.
def test_a_retry_that_was_not_used_is_granted_again():
    async def scenario():
        fleet = RetryFleet(6)
        await asyncio.sleep(JOIN_S + WINDOW_S)
        exchange = fleet.entries["e5"].core.slack_exchange
        while await exchange.take("desk"):
            pass
        exchange.give_back("desk")
        await asyncio.sleep(0.01)
        return [await exchange.take("desk") for _ in range(2)]

    assert run(scenario()) == [True, False]


def test_a_fleet_without_trouble_repeats_what_its_endpoints_reject():
    fleet = play(6, reject_run=0.1)
    served = sum(reply.is_ok() for reply in fleet.replies)
    assert served >= 0.98 * len(fleet.replies)

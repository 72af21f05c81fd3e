"""Rate limits while requests wait for tokens at many entries of a large fleet."""

import asyncio
import random
from dataclasses import replace

import pytest

from ebonyglade.forward.rates.fleet_rates import FleetRates
from ebonyglade.forward.rates.tolerance import RateTolerance
from ebonyglade.forward.types import PromptSize, Workspace
from ebonyglade_lab.virtual.loop import run
from ebonyglade_lab.virtual.network import Network
from helpers.entries import Entry

TOLERANCE = RateTolerance(overage=0.25, slack=73_000.0, first_start=True)
WORKSPACE = Workspace("w", ("key",), rate=20_000.0, burst=100_000.0)
WINDOW_S = 8.0
JOIN_S = 3.0
LOAD_S = 30.0


def allowed():
    owed = WORKSPACE.rate * WINDOW_S + WORKSPACE.burst
    return owed * (1 + TOLERANCE.overage) + TOLERANCE.slack


async def flood(entries, cost, per_s, rng):
    """Ask at random entries for far more than the rate; return what was admitted."""
    admitted = []

    async def ask(entry, number):
        prompt = PromptSize("m", cost, 0)
        call = entry.call(f"id-{number}", 14.0, str(number).encode(), prompt)
        if await entry.core._admit_with_wait(call) is None:
            admitted.append((entry.now, cost))

    number, until = 0, entries[0].now + LOAD_S
    while entries[0].now < until:
        entry = rng.choice(entries)
        entry.process.spawn(ask(entry, number))
        number += 1
        await asyncio.sleep(rng.expovariate(per_s))
    await asyncio.sleep(1.0)
    return admitted


def most_in_window(admitted):
    return max(
        sum(cost for at, cost in admitted if start <= at < start + WINDOW_S)
        for start, _ in admitted
    )


def admitted_by(count, zones, cost, seed):
    async def scenario():
        network = Network(random.Random(seed))
        entries = [
            Entry(network, f"e{n}", TOLERANCE, f"z{n % zones}", workspace=WORKSPACE)
            for n in range(count)
        ]
        await asyncio.sleep(JOIN_S)
        return await flood(entries, cost, 30.0, random.Random(100 + seed))

    return run(scenario())


# Requests that waited at several entries for the same tokens took them at the same
# moment, before the entries heard of each other.
@pytest.mark.parametrize(("count", "zones"), [(5, 4), (20, 4), (40, 4)])
@pytest.mark.parametrize("cost", [5_000, 20_000])
def test_requests_that_wait_at_many_entries_keep_the_rate(count, zones, cost):
    admitted = admitted_by(count, zones, cost, seed=1)
    assert most_in_window(admitted) <= allowed()
    # All that the workspace is owed is admitted.
    total = sum(cost for _, cost in admitted)
    assert total >= WORKSPACE.burst + 0.95 * WORKSPACE.rate * LOAD_S


# What buckets left unused of the granted tokens was less than one large request, so
# that any two that were admitted at the same moment could exceed it.
@pytest.mark.parametrize("seed", [0, 5, 8, 9])
def test_requests_that_collide_all_the_same_keep_the_rate(seed):
    admitted = admitted_by(20, 4, 20_000, seed)
    assert most_in_window(admitted) <= allowed()


# A reserve for many requests, also where entries hear of each other at once, refused
# requests that a workspace is granted above its burst.
def test_a_small_fleet_admits_most_of_what_is_granted():
    rates = FleetRates(TOLERANCE, 0.0, lambda name: WORKSPACE)
    admitted = 0.0
    while rates.take(WORKSPACE, 20_000.0, 0.0) == 0.0:
        admitted += 20_000.0
    assert admitted >= TOLERANCE.burst(WORKSPACE) - 2 * 20_000.0


REQUESTS = Workspace("w", ("key",), rate=10.0, burst=20.0, counts_tokens=False)


async def ask_all(entries, seconds, per_s):
    """Ask each entry at a rate; return the times of what was admitted."""
    admitted, rng = [], random.Random(5)
    until = entries[0].now + seconds
    while entries[0].now < until:
        entry = rng.choice(entries)
        call = entry.plain_call(f"id-{len(admitted)}", 2.0)
        if entry.core.admit(call) is None:
            admitted.append((entry.now, 1))
        await asyncio.sleep(rng.expovariate(per_s))
    return admitted


# An entry that heard of no other took the whole rate for its own, in each life.
@pytest.mark.parametrize("first_start", [True, False])
@pytest.mark.parametrize("lives", [1, 3])
def test_entries_that_never_heard_of_each_other_keep_the_rate_together(
    first_start, lives
):
    tolerance = RateTolerance(overage=0.25, slack=20.0, first_start=first_start)

    async def scenario():
        network, names = Network(random.Random(1)), [f"e{n}" for n in range(1, 9)]
        network.faults.partitioned = {
            frozenset((one, other))
            for one in names
            for other in ["e0", *names]
            if one != other
        }
        admitted = []
        for life in range(lives):
            limits = replace(tolerance, first_start=first_start and not life)
            entries = [
                Entry(network, name, limits, incarnation=f"{life}", workspace=REQUESTS)
                for name in names
            ]
            admitted += await ask_all(entries, WINDOW_S / lives, 100.0)
            for entry in entries:
                entry.process.kill()
        return admitted

    owed = REQUESTS.rate * WINDOW_S + REQUESTS.burst
    assert len(run(scenario())) <= owed * 1.25 + 20.0


# Silence alone, however long, does not show that the others are gone: entries that
# never heard of each other used the whole rate each.
@pytest.mark.parametrize("silent_s", [5.0, 31.0, 3600.0])
def test_an_entry_that_hears_no_other_admits_nothing_until_the_others_are_known(
    silent_s,
):
    rates = FleetRates(RateTolerance(), 0.0, lambda name: REQUESTS, joined_at=None)
    assert rates.take(REQUESTS, 1.0, silent_s) > 0
    assert rates.take(REQUESTS, 1.0, silent_s + 1.0) > 0
    rates.record_joined(silent_s + 1.0)
    assert rates.take(REQUESTS, 1.0, silent_s + 2.0) == 0


def test_an_entry_that_hears_another_one_soon_begins_with_the_whole_burst():
    tolerance = RateTolerance(first_start=True)
    rates = FleetRates(tolerance, 0.0, lambda name: REQUESTS, joined_at=None)
    assert rates.take(REQUESTS, 1.0, 0.1) > 0
    rates.record_joined(0.2)
    assert all(rates.take(REQUESTS, 1.0, 0.3) == 0 for _ in range(20))


# Tokens that ran out and tokens that are not added looked the same in the log.
def test_the_log_tells_a_spent_bucket_from_one_that_gets_no_tokens(caplog):
    async def scenario():
        network = Network(random.Random(1))
        limits = RateTolerance(overage=0.25, slack=20.0)
        entry = Entry(network, "e1", limits, workspace=REQUESTS)
        await asyncio.sleep(JOIN_S)
        entry.core.admit(entry.plain_call("id-1"))
        await entry.core.run(entry.plain_call("id-2"))

    with caplog.at_level("INFO", "ebonyglade.forward.entry"):
        run(scenario())
    refused = [item for item in caplog.records if item.message == "request refused"]
    assert refused
    assert not any(item.tokens_added for item in refused)

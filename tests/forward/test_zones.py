"""Large fleets, which are divided by availability zones.

Heartbeats from every member to every other one cost a process more with each member,
until links are full and live members look dead. Here a zone's members speak to each
other, and the first ones by rank report for the zone.
"""

import asyncio
import random
from collections import Counter

import msgspec
import pytest

from ebonyglade.forward.first_attempts import FIRST_ATTEMPT_TTL_S
from ebonyglade.forward.members import (
    FORGET_AFTER_S,
    LIVENESS_TIMEOUT_S,
    REPORTERS_PER_ZONE,
    reporter_rank,
)
from ebonyglade.forward.rates.fleet_rates import SILENT_AFTER_S
from ebonyglade.forward.rates.tolerance import RateTolerance
from ebonyglade.forward.store.store_readers import (
    FOLLOWED_MAX_AGE_S,
    READ_MAX_AGE_S,
    READERS_PER_ZONE,
    reader_choice,
)
from ebonyglade.forward.types import RetryMode
from ebonyglade.forward.zone_exchange import REPORT_INTERVAL_S
from ebonyglade_lab.virtual.loop import run
from ebonyglade_lab.virtual.network import Network
from helpers.entries import FIRST_START_RATES, WORKSPACE, Entry
from helpers.forwarding import at, configuration, endpoint, listed

JOIN_S = 2.5  # time within which a fleet that starts at once is complete


def start_fleet(count, zones, rates=FIRST_START_RATES):
    network = Network(random.Random(1))
    entries = [
        Entry(network, f"e{n}", rates, zone=f"z{n % zones}") for n in range(count)
    ]
    return network, entries


def of_zone(entries, zone):
    return [entry for entry in entries if entry.core.members.zone == zone]


def counts(entries):
    return Counter(entry.core.members.entry_count() for entry in entries)


class Meter:
    """Counts the frames and bytes that each process sends."""

    def __init__(self, network):
        self.frames, self.bytes = Counter(), Counter()
        self._send, network.send = network.send, self._count

    def _count(self, source, target, frame):
        self.frames[source] += 1
        self.bytes[source] += len(frame)
        self._send(source, target, frame)


def cost_per_process(count, zones, seconds=3.0):
    """Return the mean frames and bytes a second that a process of a fleet sends."""

    async def scenario():
        network, entries = start_fleet(count, zones)
        await asyncio.sleep(JOIN_S)
        assert counts(entries) == {count: count}
        meter = Meter(network)
        await asyncio.sleep(seconds)
        total = count * seconds
        return sum(meter.frames.values()) / total, sum(meter.bytes.values()) / total

    return run(scenario())


def test_the_cost_of_a_process_does_not_grow_with_the_number_of_zones():
    """Zones of the same size are added to a fleet."""
    small = cost_per_process(20, 2)
    large = cost_per_process(100, 10)
    assert large[0] <= 2 * small[0]
    assert large[1] <= 2 * small[1]


def test_all_members_of_a_large_fleet_are_counted_under_loss():
    async def scenario():
        network, entries = start_fleet(76, 6)
        network.faults.lose = 0.1
        await asyncio.sleep(2 * JOIN_S)
        return counts(entries), {entry.core.members.divided for entry in entries}

    found, divided = run(scenario())
    assert found == {76: 76}
    assert divided == {True}


def test_a_small_fleet_is_not_divided():
    async def scenario():
        _, entries = start_fleet(12, 3)
        await asyncio.sleep(JOIN_S)
        return counts(entries), {entry.core.members.divided for entry in entries}

    assert run(scenario()) == ({12: 12}, {False})


def kill_reporters(entries, zone):
    """Kill both members that report for a zone; return the others of the fleet."""
    members = of_zone(entries, zone)
    members.sort(key=lambda entry: reporter_rank(entry.process.instance, 0.0))
    for entry in members[:REPORTERS_PER_ZONE]:
        entry.process.kill()
    return [entry for entry in entries if not entry.process.killed]


def test_both_reporters_of_a_zone_are_replaced_when_they_end_together():
    async def scenario():
        _, entries = start_fleet(40, 4)
        await asyncio.sleep(JOIN_S)
        left = kill_reporters(entries, "z1")
        await asyncio.sleep(LIVENESS_TIMEOUT_S + 1.0)
        reporters = [
            entry.process.instance
            for entry in of_zone(left, "z1")
            if entry.core.members.is_reporter(entry.now)
        ]
        known = {
            tuple(entry.core.members.other_zones.reporters["z1"])
            for entry in of_zone(left, "z2")
        }
        await asyncio.sleep(FORGET_AFTER_S + 6)
        return reporters, known, counts(left)

    reporters, known, found = run(scenario())
    assert len(reporters) == REPORTERS_PER_ZONE
    assert all(set(reporters) <= set(names) for names in known)
    assert found == {38: 38}


def test_a_zone_that_was_cut_off_is_counted_again():
    async def scenario():
        network, entries = start_fleet(30, 3)
        await asyncio.sleep(JOIN_S)
        for here in of_zone(entries, "z0"):
            for there in entries:
                if there.core.members.zone != "z0":
                    pair = frozenset((here.process.instance, there.process.instance))
                    network.faults.partitioned.add(pair)
        await asyncio.sleep(FORGET_AFTER_S + 6)
        apart = counts(entries)
        network.faults.partitioned.clear()
        await asyncio.sleep(3.0)
        return apart, counts(entries)

    apart, together = run(scenario())
    assert apart == {10: 10, 20: 20}
    assert together == {30: 30}


def test_a_process_that_starts_later_finds_its_zone_by_a_seed_of_another_zone():
    async def scenario():
        network, entries = start_fleet(30, 3)
        await asyncio.sleep(JOIN_S)
        new = Entry(network, "new", zone="z1")
        await asyncio.sleep(JOIN_S)
        return counts([*entries, new])

    assert run(scenario()) == {31: 31}


def test_a_refusal_is_known_in_all_zones():
    async def scenario():
        _, entries = start_fleet(30, 3)
        await asyncio.sleep(JOIN_S)
        call = entries[4].call("r", 10.0)
        assert entries[4].core.admit(call) is None
        entries[4].core._announce_refusal(call)
        await asyncio.sleep(0.1)
        arrived = entries[0].now
        return [
            entry.core.first_attempts.first_attempt_at(call.fingerprint, arrived)
            for entry in entries
        ], arrived

    first, arrived = run(scenario())
    assert all(arrived - FIRST_ATTEMPT_TTL_S < at_time < arrived for at_time in first)


GRANTED = RateTolerance(overage=0.25, slack=73_000.0, first_start=True)
COST = 10_000.0


def granted(window):
    """Return what the platform grants the workspace in a window."""
    rate, burst = WORKSPACE.rate, WORKSPACE.burst
    return (window * rate + burst) * (1 + GRANTED.overage) + GRANTED.slack


FLOOD_STEP_S = 0.05
FLOOD_REQUESTS_PER_STEP = 4
FLOOD_PER_S = FLOOD_REQUESTS_PER_STEP * COST / FLOOD_STEP_S  # tokens that are requested


async def flood(entries, seconds):
    """Request tokens at random entries; return time and cost of those admitted."""
    rng = random.Random(7)
    admitted = []
    end = entries[0].now + seconds
    while entries[0].now < end:
        for entry in rng.sample(entries, FLOOD_REQUESTS_PER_STEP):
            if entry.process.killed:
                continue
            if entry.core.rates.take(WORKSPACE, COST, entry.now) == 0.0:
                entry.core.rate_exchange.announce_spending(WORKSPACE, COST)
                admitted.append((entry.now, COST))
        await asyncio.sleep(FLOOD_STEP_S)
    return admitted


def most_in(admitted, window):
    return max(
        sum(cost for when, cost in admitted if start <= when < start + window)
        for start, _ in admitted
    )


@pytest.mark.parametrize(("count", "zones"), [(30, 3), (76, 6), (150, 6)])
def test_a_flood_at_all_zones_stays_within_what_is_granted(count, zones):
    """A workspace sends many times its rate through entries of all zones."""

    async def scenario():
        _, entries = start_fleet(count, zones, GRANTED)
        await asyncio.sleep(JOIN_S)
        return await flood(entries, 24.0)

    admitted = run(scenario())
    assert most_in(admitted, 8.0) <= granted(8.0)
    total = sum(cost for _, cost in admitted)
    assert total >= 0.95 * (24.0 * WORKSPACE.rate + WORKSPACE.burst)


def test_a_flood_stays_within_what_is_granted_while_reporters_are_killed():
    async def scenario():
        _, entries = start_fleet(40, 4, GRANTED)
        await asyncio.sleep(JOIN_S)
        flooding = asyncio.ensure_future(flood(entries, 24.0))
        await asyncio.sleep(8.0)
        kill_reporters(entries, "z1")
        await asyncio.sleep(4.0)
        kill_reporters(of_zone(entries, "z2"), "z2")
        return await flooding

    assert most_in(run(scenario()), 8.0) <= granted(8.0)


def test_a_flood_on_both_sides_of_a_partition_stays_within_what_is_granted():
    async def scenario():
        network, entries = start_fleet(40, 4, GRANTED)
        await asyncio.sleep(JOIN_S)
        before = await flood(entries, 6.0)
        for here in of_zone(entries, "z0") + of_zone(entries, "z1"):
            for there in of_zone(entries, "z2") + of_zone(entries, "z3"):
                pair = frozenset((here.process.instance, there.process.instance))
                network.faults.partitioned.add(pair)
        return before + await flood(entries, 16.0)

    # Until the other side counts as silent, each side admits all of the rate.
    unnoticed_s = SILENT_AFTER_S + REPORT_INTERVAL_S
    unnoticed = unnoticed_s * WORKSPACE.rate * (1 + GRANTED.overage)
    assert most_in(run(scenario()), 8.0) <= granted(8.0) + unnoticed


def test_machines_that_are_cut_off_do_not_spend_the_burst_of_the_others():
    """A third of the machines is cut off from all others as a flood begins."""

    async def scenario():
        network, entries = start_fleet(40, 4, GRANTED)
        await asyncio.sleep(JOIN_S)
        before = await flood(entries, 0.4)
        for here in entries[::3]:
            for there in entries:
                if here is not there:
                    pair = frozenset((here.process.instance, there.process.instance))
                    network.faults.partitioned.add(pair)
        return before + await flood(entries, 10.0)

    # Until an entry notices that it is cut off, it admits all that reaches it.
    reaches_them = len(range(0, 40, 3)) / 40 * FLOOD_PER_S
    unnoticed = (SILENT_AFTER_S + REPORT_INTERVAL_S) * reaches_them
    assert most_in(run(scenario()), 8.0) <= granted(8.0) + unnoticed


def test_a_fleet_of_two_builds_stays_within_what_is_granted():
    """A third of the members knows nothing of zones and speaks to all others."""

    async def scenario():
        _, entries = start_fleet(30, 3, GRANTED)
        for entry in entries[::3]:
            make_old(entry)
        await asyncio.sleep(2 * JOIN_S)
        new = [entry for n, entry in enumerate(entries) if n % 3]
        return counts(new), await flood(entries, 24.0)

    found, admitted = run(scenario())
    assert found == {30: 20}
    assert most_in(admitted, 8.0) <= granted(8.0)


def make_old(entry):
    """Let an entry behave as a build that does not know zone reports."""
    members = entry.core.members
    compose = members.compose
    members.compose = lambda complete: msgspec.structs.replace(
        compose(True), zoned=False, capacity=0.0
    )
    # It never divides the fleet.
    members.undivided_up_to = 1000


def test_a_change_of_the_store_reaches_all_zones_from_one_reader():
    async def scenario():
        _, entries = start_fleet(30, 3)
        await asyncio.sleep(JOIN_S)
        reader = next(
            entry
            for entry in of_zone(entries, "z0")
            if entry.core.members.is_reporter(entry.now)
        )
        reader.core.replica.apply(
            [configuration(3, 60), listed(endpoint("a"), 61)], at(61)
        )
        reader.core.replica.record_read(reader.now)
        await asyncio.sleep(1.5)
        return [
            (entry.core.replica.table.version, entry.core.replica.age(entry.now))
            for entry in entries
        ]

    found = run(scenario())
    assert {version for version, _ in found} == {3}
    assert all(age <= 1.6 for _, age in found)


def reads(entries):
    """Return the entries that read the store now."""
    return [
        entry
        for entry in entries
        if reader_choice(entry.core.members, entry.core.replica_sync)(entry.now)
    ]


async def read_store(entries, seconds, failing=(), step=0.2):
    """Let the entries that should read the store do so."""
    for _ in range(round(seconds / step)):
        for entry in reads(entries):
            if entry in failing:
                entry.core.replica.record_failed_read()
            else:
                entry.core.replica.record_read(entry.now)
        await asyncio.sleep(step)


def test_few_members_of_a_zone_read_the_store():
    async def scenario():
        _, entries = start_fleet(40, 4)
        await read_store(entries, JOIN_S + 2.0)
        ages = [entry.core.replica.age(entry.now) for entry in entries]
        return len(reads(entries)), max(ages)

    readers, age = run(scenario())
    assert readers == 4 * READERS_PER_ZONE
    assert age < FOLLOWED_MAX_AGE_S


def test_readers_that_the_store_turns_away_are_replaced():
    async def scenario():
        _, entries = start_fleet(40, 4)
        await read_store(entries, JOIN_S + 2.0)
        failing = reads(of_zone(entries, "z1"))
        await read_store(entries, READ_MAX_AGE_S, failing)
        others = reads(of_zone(entries, "z1"))
        ages = [entry.core.replica.age(entry.now) for entry in entries]
        await read_store(entries, 2.0)
        return failing, others, max(ages), reads(of_zone(entries, "z1"))

    failing, others, age, after = run(scenario())
    assert len(failing) == READERS_PER_ZONE
    assert len(others) == 2 * READERS_PER_ZONE
    assert age < FOLLOWED_MAX_AGE_S
    assert after == failing


def test_a_member_without_neighbors_reads_the_store_itself():
    async def scenario():
        network, entries = start_fleet(40, 4)
        await read_store(entries, JOIN_S + 2.0)
        alone = next(entry for entry in entries if entry not in reads(entries))
        for other in entries:
            if other is not alone:
                pair = frozenset((alone.process.instance, other.process.instance))
                network.faults.partitioned.add(pair)
        await read_store(entries, LIVENESS_TIMEOUT_S + 0.4)
        return alone in reads(entries), alone.core.replica.age(alone.now)

    reading, age = run(scenario())
    assert reading
    assert age < FOLLOWED_MAX_AGE_S


def test_a_retry_at_a_new_zone_counts_from_its_first_attempt():
    """A caller moves to another zone between two attempts of a refused request."""

    async def scenario():
        _, entries = start_fleet(30, 3)
        await asyncio.sleep(JOIN_S)
        first = entries[0].call("r1", 10.0)
        assert first.method and entries[0].core.admit(first) is None
        assert first.route.repeat is RetryMode.STREAM
        entries[0].core._announce_refusal(first)
        await asyncio.sleep(1.0)
        second = entries[1].call("r2", 10.0)
        assert entries[1].core.admit(second) is None
        return second.first_asked_at - first.arrived_at

    assert abs(run(scenario())) < 0.05

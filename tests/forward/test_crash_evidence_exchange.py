"""Evidence of requests that crash endpoints, in fleets on the simulated network."""

import asyncio
import random

import pytest

from ebonyglade.forward.evidence_exchange import EvidenceExchange
from ebonyglade.quarantine.evidence import BrokenRun, CrashEvidence, Source
from ebonyglade_lab.virtual.loop import run
from ebonyglade_lab.virtual.network import Network
from helpers.entries import Entry

JOIN_S = 3.0
MAX_SPREAD_S = 3.0  # until no process sends such a request any more


def start_fleet(count, zones, lose=0.0):
    network = Network(random.Random(1))
    network.faults.lose = lose
    entries = [Entry(network, f"e{n}", zone=f"z{n % zones}") for n in range(count)]
    return network, entries


def crash(entry, endpoint, request="f"):
    entry.core.crashes.record_run(BrokenRun(endpoint, request), entry.now, entry.now)


def crash_three(entries):
    for number, entry in enumerate(entries[:3]):
        crash(entry, f"endpoint-{number}")


def blocked(entries):
    return [bool(entry.core.crashes.blocked_for("f", entry.now)) for entry in entries]


@pytest.mark.parametrize(
    ("count", "zones", "lose"), [(8, 4, 0.0), (30, 3, 0.1), (76, 6, 0.1)]
)
def test_a_request_that_crashed_three_endpoints_is_blocked_at_all_entries(
    count, zones, lose
):
    """Each time at another entry; some messages are lost."""

    async def scenario():
        _, entries = start_fleet(count, zones, lose)
        await asyncio.sleep(JOIN_S)
        crash_three(entries)
        await asyncio.sleep(MAX_SPREAD_S)
        return blocked(entries)

    assert all(run(scenario()))


# Counts were sums of what each entry says now: they went with the entries.
@pytest.mark.parametrize(("count", "zones"), [(8, 4), (30, 3)])
def test_a_request_stays_blocked_when_the_entries_that_observed_it_end(count, zones):
    async def scenario():
        _, entries = start_fleet(count, zones)
        await asyncio.sleep(JOIN_S)
        crash_three(entries)
        await asyncio.sleep(MAX_SPREAD_S)
        for entry in entries[:3]:
            entry.process.kill()
        await asyncio.sleep(60.0)
        return blocked(entries[3:])

    assert all(run(scenario()))


# An entry that was started again at its address dropped what it had reported before.
@pytest.mark.parametrize("gap_s", [0.5, JOIN_S])
def test_a_request_stays_blocked_when_all_entries_are_started_again_in_turn(gap_s):
    async def scenario():
        network, entries = start_fleet(6, 2)
        await asyncio.sleep(JOIN_S)
        crash_three(entries)
        await asyncio.sleep(MAX_SPREAD_S)
        for number, entry in enumerate(entries):
            entry.process.kill()
            network.detach(f"e{number}")
            entries[number] = Entry(
                network, f"e{number}", zone=f"z{number % 2}", incarnation="2"
            )
            await asyncio.sleep(gap_s)
        return blocked(entries)

    assert all(run(scenario()))


# The zone's reporters heard it from another zone before they heard it from the entry
# that observed it, and took it for known everywhere.
def test_evidence_that_comes_back_from_another_zone_first_is_still_reported():
    evidence = CrashEvidence()
    exchange = EvidenceExchange(evidence, "reporter")
    broken = BrokenRun("endpoint", "f")
    evidence.record_run(broken, 0.0, 0.3, Source.ELSEWHERE)
    assert exchange.compose(0.4, False, Source.ZONE) is None
    evidence.record_run(broken, 0.0, 0.5, Source.ZONE)
    records = exchange.compose(0.6, False, Source.ZONE)
    assert [record.endpoint for record in records.runs] == ["endpoint"]
    evidence.record_answer("f", 1.0, 1.3, Source.ELSEWHERE)
    evidence.record_answer("f", 1.0, 1.5, Source.ZONE)
    records = exchange.compose(1.6, False, Source.ZONE)
    assert [record.subject for record in records.answers] == ["f"]


def test_crashes_of_one_endpoint_that_several_entries_observe_count_once():
    async def scenario():
        _, entries = start_fleet(20, 2)
        await asyncio.sleep(JOIN_S)
        for entry in entries:
            crash(entry, "endpoint-1")
        crash(entries[0], "endpoint-2")
        await asyncio.sleep(MAX_SPREAD_S)
        return {entry.core.crashes.crashes("f", entry.now) for entry in entries}

    assert run(scenario()) == {2}


def test_a_whole_answer_clears_a_request_at_all_entries():
    async def scenario():
        _, entries = start_fleet(30, 3)
        await asyncio.sleep(JOIN_S)
        crash_three(entries)
        await asyncio.sleep(MAX_SPREAD_S)
        entries[20].core.crashes.record_answer("f", entries[20].now, entries[20].now)
        await asyncio.sleep(MAX_SPREAD_S)
        return blocked(entries)

    assert not any(run(scenario()))


@pytest.mark.parametrize(
    ("count", "zones", "lose"), [(8, 4, 0.0), (30, 3, 0.1), (76, 6, 0.1)]
)
def test_a_part_that_crashes_endpoints_is_blocked_at_all_entries(count, zones, lose):
    """Each request with it is another one, and comes to another entry."""

    async def scenario():
        _, entries = start_fleet(count, zones, lose)
        await asyncio.sleep(JOIN_S)
        for number, entry in enumerate(entries[:5]):
            run = BrokenRun(f"endpoint-{number}", f"f-{number}", ("first", "bad"))
            entry.core.crashes.record_run(run, entry.now, entry.now)
            await asyncio.sleep(0.2)
        await asyncio.sleep(MAX_SPREAD_S)
        return [
            bool(entry.core.crashes.parts_blocked_for(("first", "bad"), entry.now))
            for entry in entries
        ]

    assert all(run(scenario()))


# Answers within a second of each other were dropped: all entries refused the part.
@pytest.mark.parametrize(("count", "zones"), [(8, 4), (30, 3)])
def test_a_part_that_sound_requests_share_is_blamed_nowhere(count, zones):
    """Endpoints end fast one after the other; answers come at other entries."""

    async def scenario():
        _, entries = start_fleet(count, zones)
        await asyncio.sleep(JOIN_S)
        for number in range(5):
            observer, answered = entries[number], entries[-1 - number]
            parts = ("shared", f"own-{number}")
            run = BrokenRun(f"endpoint-{number}", f"f-{number}", parts)
            observer.core.crashes.record_run(run, observer.now, observer.now)
            for _ in range(2):
                await asyncio.sleep(0.08)
                answered.core.crashes.record_answer(
                    "shared", answered.now, answered.now
                )
        await asyncio.sleep(MAX_SPREAD_S)
        return [
            bool(entry.core.crashes.parts_blocked_for(("shared", "x"), entry.now))
            for entry in entries
        ]

    assert not any(run(scenario()))

"""Which software version began a stream, in fleets on the simulated network."""

import asyncio
import random

import pytest

from ebonyglade.forward.origins.stream_origins import (
    KEEP_S,
    MAX_STREAMS,
    MAX_UNSEEN_S,
    Coverage,
    ListedSoftware,
    StreamOrigins,
    covered_until,
    stream_key,
)
from ebonyglade_lab.virtual.loop import run
from ebonyglade_lab.virtual.network import Network
from helpers.entries import Entry
from helpers.forwarding import decode

JOIN_S = 3.0
STREAMS = 40
FLEETS = [(1, 1), (5, 4), (30, 3), (76, 6)]


def test_the_first_event_decides_the_version():
    origins = StreamOrigins()
    origins.record("s", "v1", 0.0)
    origins.record("s", "v2", 1.0)
    assert origins.software("s") == "v1"
    assert origins.software("t") is None


def test_streams_are_forgotten_after_a_time_and_beyond_a_number():
    origins = StreamOrigins()
    origins.record("old", "v1", 0.0)
    origins.record("new", "v1", KEEP_S)
    origins.forget(KEEP_S + 1.0)
    assert origins.software("old") is None
    assert origins.software("new") == "v1"
    for number in range(MAX_STREAMS):
        origins.record(f"s{number}", "v1", KEEP_S)
    assert origins.software("new") is None


def test_streams_of_two_workspaces_have_different_keys():
    assert stream_key("a", "id-1") != stream_key("b", "id-1")
    assert stream_key("a", "bc") != stream_key("ab", "c")


def test_a_service_has_one_version_only_if_no_other_was_listed_lately():
    listed = ListedSoftware(complete_since=0.0)
    listed.record([decode("a", software="v1")], 0.0)
    assert listed.versions("model", since=-1.0) == {"v1"}
    listed.record([decode("b", software="v2")], 1.0)
    assert listed.versions("model", since=0.0) == {"v1", "v2"}
    assert listed.versions("model", since=0.5) == {"v2"}
    listed.record([decode("b", software="v2")], KEEP_S + 0.5)
    assert listed.versions("model", since=0.0) == {"v2"}
    assert listed.versions("desk", since=0.0) == set()


# A process that was frozen, or cut off from the store, may have missed a version.
def test_versions_are_known_completely_only_while_the_store_is_seen():
    listed = ListedSoftware(complete_since=10.0)
    for now in (10.0, 12.0, 14.0):
        listed.record([], now)
    assert listed.coverage(14.0, age_s=0.5) == Coverage(10.0, 13.5)
    listed.record([], 16.0, age_s=MAX_UNSEEN_S + 0.1)
    assert listed.coverage(16.0, age_s=0.0) == Coverage(16.0, 16.0)
    listed.record([], 18.0)
    assert listed.coverage(18.0, age_s=0.0) == Coverage(16.0, 18.0)
    listed.record([], 18.1 + MAX_UNSEEN_S)
    assert listed.coverage(22.0, age_s=0.0).since == 18.1 + MAX_UNSEEN_S


def test_processes_cover_a_time_together_only_without_a_gap():
    early, late = Coverage(0.0, 6.0), Coverage(5.0, 9.0)
    assert covered_until([late, early], since=1.0) == 9.0
    assert covered_until([early], since=1.0) == 6.0
    assert covered_until([late], since=1.0) == 1.0
    assert covered_until([early, Coverage(7.0, 9.0)], since=1.0) == 6.0
    assert covered_until([], since=1.0) == 1.0


def test_streams_of_one_request_have_no_version_if_two_versions_began_some():
    origins = StreamOrigins()
    origins.record_content("s", "v1", 0.0)
    origins.record_content("s", "v1", 1.0)
    assert origins.software("s") == "v1"
    origins.record_content("s", "v2", 2.0)
    assert origins.software("s") is None
    origins.record_content("s", "v2", 3.0)
    assert origins.software("s") is None


def start_fleet(count, zones, lose=0.0):
    network = Network(random.Random(1))
    network.faults.lose = lose
    entries = [Entry(network, f"e{n}", zone=f"z{n % zones}") for n in range(count)]
    return network, entries


def begin_streams(entries):
    for number in range(STREAMS):
        entry = entries[number % len(entries)]
        entry.core.origin_exchange.announce(f"s{number}", f"v{number % 2}")


async def known_at(entry):
    """Return how many streams an entry finds, all with their version."""
    found = 0
    for number in range(STREAMS):
        software = (await entry.core.origin_exchange.find(f"s{number}")).software
        assert software in (None, f"v{number % 2}")
        found += software is not None
    return found


@pytest.mark.parametrize(("count", "zones"), FLEETS)
def test_every_entry_finds_the_streams_that_any_entry_began(count, zones):
    async def scenario():
        _, entries = start_fleet(count, zones)
        await asyncio.sleep(JOIN_S)
        begin_streams(entries)
        await asyncio.sleep(0.1)
        return [await known_at(entry) for entry in entries[:8]]

    assert set(run(scenario())) == {STREAMS}


def test_streams_are_found_when_the_entry_that_began_them_ends_at_once():
    async def scenario():
        _, entries = start_fleet(5, 4)
        await asyncio.sleep(JOIN_S)
        begin_streams(entries[:1])
        await asyncio.sleep(0.01)
        entries[0].process.kill()
        return [await known_at(entry) for entry in entries[1:]]

    assert set(run(scenario())) == {STREAMS}


# One of the members that were told may end as well.
def test_streams_are_found_when_a_third_of_a_fleet_ends():
    async def scenario():
        _, entries = start_fleet(9, 3)
        await asyncio.sleep(JOIN_S)
        begin_streams(entries)
        await asyncio.sleep(0.01)
        for entry in entries[:3]:
            entry.process.kill()
        return [await known_at(entry) for entry in entries[3:]]

    assert set(run(scenario())) == {STREAMS}


# Nobody that was told of them is left, one kind of members after the other.
@pytest.mark.parametrize("zones", [1, 3])
def test_streams_are_found_after_all_members_were_replaced_one_after_the_other(zones):
    async def scenario():
        network, entries = start_fleet(9, zones)
        await asyncio.sleep(JOIN_S)
        begin_streams(entries)
        await asyncio.sleep(0.1)
        for number, entry in enumerate(list(entries)):
            entry.process.kill()
            zone, name = f"z{number % zones}", f"e{number}"
            entries[number] = Entry(network, name, zone=zone, incarnation="2")
            await asyncio.sleep(JOIN_S)
        return [await known_at(entry) for entry in entries]

    assert set(run(scenario())) == {STREAMS}


def test_a_stream_is_kept_by_members_of_both_kinds():
    async def scenario():
        _, entries = start_fleet(9, 1)
        await asyncio.sleep(JOIN_S)
        exchange = entries[0].core.origin_exchange
        now = entries[0].now
        for item in exchange.members.live(now)[:2]:
            item.entry = False
        kept = [exchange._keepers(f"s{n}", now)[:3] for n in range(STREAMS)]
        return {tuple(item.entry for item in members) for members in kept}

    assert run(scenario()) == {(False, True, False)}


def test_what_is_handed_on_is_not_kept_for_longer():
    origins = StreamOrigins()
    origins.record("s", "v1", 0.0)
    origins.record_content("c", "v1", 0.0)
    origins.record("s", "v1", 0.0)
    origins.record_content("c", "v1", -1.0)
    assert [item.at for _, item in origins.newest(5)] == [0.0, 0.0]
    origins.record_content("c", None, 1.0)
    assert origins.software("c") is None


def test_most_streams_are_found_while_messages_are_lost():
    async def scenario():
        _, entries = start_fleet(9, 3, lose=0.1)
        await asyncio.sleep(JOIN_S)
        begin_streams(entries)
        await asyncio.sleep(0.1)
        return [await known_at(entry) for entry in entries]

    assert min(run(scenario())) >= 0.9 * STREAMS


def test_an_entry_that_is_cut_off_does_not_guess():
    async def scenario():
        network, entries = start_fleet(5, 4)
        await asyncio.sleep(JOIN_S)
        for other in entries[1:]:
            names = {entries[0].process.instance, other.process.instance}
            network.faults.partitioned.add(frozenset(names))
        begin_streams(entries[1:])
        await asyncio.sleep(0.1)
        started = entries[0].now
        found = await entries[0].core.origin_exchange.find("s0")
        return found, entries[0].now - started

    found, seconds = run(scenario())
    assert found.only_version is None
    assert seconds < 0.2

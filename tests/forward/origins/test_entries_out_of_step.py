"""Streams that are taken up at an entry that lacks what others know."""

import asyncio
import random
from dataclasses import replace

import pytest

from ebonyglade.forward.origins.resumed_streams import TAKE_UP_MARGIN_S
from ebonyglade.forward.types import RequestMetadata
from ebonyglade_lab.virtual.loop import run
from ebonyglade_lab.virtual.network import Network
from helpers.entries import PROMPT, Entry
from helpers.forwarding import at, decode, listed

READ_INTERVAL_S = 0.2
KNOWN_S = 14.0 + TAKE_UP_MARGIN_S + 1.0  # longer than streams are taken up
OLD = [decode(f"old-{n}", software="v1") for n in range(2)]
NEW = [decode(f"new-{n}", software="v2") for n in range(3)]


class Fleet:
    """Entries that read a store, of which the last one falls out of step."""

    def __init__(self, entries=3):
        self.network = Network(random.Random(1))
        self.documents = [listed(item, 10 + n) for n, item in enumerate(OLD)]
        self.unread = set()
        self.entries = [
            Entry(self.network, f"e{n}", documents=self.documents)
            for n in range(entries)
        ]
        for entry in self.entries:
            entry.process.spawn(self._read(entry))

    async def _read(self, entry):
        replica = entry.core.replica
        while True:
            await asyncio.sleep(READ_INTERVAL_S)
            if entry not in self.unread:
                replica.apply(self.documents, at(50 + len(self.documents)))
                replica.record_read(entry.now)

    def join_new_version(self):
        self.documents = [
            *self.documents,
            *(listed(item, 60 + n) for n, item in enumerate(NEW)),
        ]

    def cut_off(self, entry, from_members=True):
        self.unread.add(entry)
        if from_members:
            name = entry.process.instance
            others = {f"e{n}" for n in range(len(self.entries))} - {name}
            pairs = {frozenset((name, other)) for other in others}
            self.network.faults.partitioned = pairs

    def reconnect(self):
        self.unread.clear()
        self.network.faults.partitioned = set()

    def call(self, entry, resumes, request_id="second"):
        metadata = RequestMetadata(
            request_id, 14.0, "key", PROMPT, last_event_id="1", resumes=resumes
        )
        call = entry.call(request_id, 14.0, b"body")
        call.metadata = metadata
        assert entry.core.admit(call) is None
        call.route = replace(call.route, resumable=True)
        return call

    async def take_up(self, entry, resumes="first"):
        """Return the refusal of a stream that is taken up, and its version."""
        call = self.call(entry, resumes)
        refusal = await entry.core.resumed_streams.bind(call)
        return refusal, call.software

    def begin(self, entry, endpoint):
        """Begin a stream at an endpoint of the new version."""
        call = self.call(entry, "", "first")
        call.metadata = replace(call.metadata, last_event_id="")
        entry.core.resumed_streams.record_begun(call, endpoint)


def assert_not_joined(taken_up):
    refusal, software = taken_up
    assert software != "v1"
    assert software == "v2" or refusal.code == "stream_unknown"


# Its list of endpoints counted as complete for the 3 s in which it saw no store.
@pytest.mark.parametrize("resumes", ["first", ""])
@pytest.mark.parametrize("after_s", [0.1, 0.5, 1.5, 2.5, 4.0])
@pytest.mark.parametrize("from_members", [True, False])
def test_a_stream_is_not_joined_with_another_version_at_an_entry_that_was_cut_off(
    resumes, after_s, from_members
):
    async def scenario():
        fleet = Fleet()
        await asyncio.sleep(KNOWN_S)
        *others, lone = fleet.entries
        fleet.cut_off(lone, from_members)
        fleet.join_new_version()
        await asyncio.sleep(READ_INTERVAL_S + 0.05)
        fleet.begin(others[0], NEW[0])
        await asyncio.sleep(after_s)
        return await fleet.take_up(lone, resumes)

    assert_not_joined(run(scenario()))


# It answered by what it knew before it stood still until it looked again.
@pytest.mark.parametrize("resumes", ["first", ""])
@pytest.mark.parametrize("stood_s", [0.5, 2.0, 5.0])
def test_a_stream_is_not_joined_with_another_version_at_an_entry_that_stood_still(
    resumes, stood_s
):
    async def scenario():
        fleet = Fleet()
        await asyncio.sleep(KNOWN_S)
        *others, lone = fleet.entries
        fleet.cut_off(lone)
        lone.process.pause()
        fleet.join_new_version()
        await asyncio.sleep(READ_INTERVAL_S + 0.05)
        fleet.begin(others[0], NEW[0])
        await asyncio.sleep(stood_s)
        lone.process.resume()
        return await fleet.take_up(lone, resumes)

    assert_not_joined(run(scenario()))


# Others that are out of step spoke for the list, too.
def test_a_member_that_sees_no_store_does_not_prove_that_there_is_one_version():
    async def scenario():
        fleet = Fleet()
        await asyncio.sleep(KNOWN_S)
        first, second, third = fleet.entries
        fleet.unread |= {second, third}
        fleet.join_new_version()
        await asyncio.sleep(READ_INTERVAL_S + 0.05)
        fleet.begin(first, NEW[0])
        await asyncio.sleep(0.01)
        first.process.kill()
        for entry in (second, third):
            entry.core.origin_exchange.origins._origins.clear()
        return await fleet.take_up(third)

    assert_not_joined(run(scenario()))


def test_an_entry_takes_streams_up_again_once_it_sees_the_store():
    async def scenario():
        fleet = Fleet()
        await asyncio.sleep(KNOWN_S)
        *_, lone = fleet.entries
        fleet.cut_off(lone)
        await asyncio.sleep(1.0)
        started = lone.now
        waiting = asyncio.ensure_future(fleet.take_up(lone))
        await asyncio.sleep(0.5)
        fleet.reconnect()
        return await waiting, lone.now - started

    (refusal, software), seconds = run(scenario())
    assert refusal is None
    assert software == "v1"
    assert seconds < 1.5

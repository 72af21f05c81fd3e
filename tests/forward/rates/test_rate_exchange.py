"""Entries that start beside others adopt the levels of the workspaces' buckets."""

import asyncio
import random

from ebonyglade.forward.rates.tolerance import RateTolerance
from ebonyglade_lab.virtual.loop import run
from ebonyglade_lab.virtual.network import Network
from helpers.entries import WORKSPACE, Entry

NOT_FIRST_START = RateTolerance()


def wait_at_a_new_entry(spent):
    """Return the wait for a burst at an entry that starts after others spent tokens."""

    async def scenario():
        network = Network(random.Random(1))
        old = [Entry(network, f"e{n}") for n in range(2)]
        await asyncio.sleep(1.0)
        for _ in range(spent):
            assert old[0].core.rates.take(WORKSPACE, 50_000.0, old[0].now) == 0.0
        new = Entry(network, "e2", NOT_FIRST_START)
        await asyncio.sleep(0.6)
        return new.core.rates.take(WORKSPACE, 100_000.0, new.now)

    return run(scenario())


def test_a_starting_entry_learns_that_a_burst_was_spent():
    assert wait_at_a_new_entry(4) > 0


def test_a_starting_entry_learns_that_nothing_was_spent():
    assert wait_at_a_new_entry(0) == 0.0

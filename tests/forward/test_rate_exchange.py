"""Entries that start beside others, and what is left of a workspace's rate."""

import asyncio
import random

from ebonyglade.forward.rates import RateTerms
from ebonyglade_lab.virtual.loop import run
from ebonyglade_lab.virtual.network import Network
from helpers.entries import WORKSPACE, Entry

STARTED = RateTerms()


def wait_at_a_new_entry(spent):
    """Return whether an entry that starts late admits what others left."""

    async def scenario():
        network = Network(random.Random(1))
        old = [Entry(network, f"e{n}") for n in range(2)]
        await asyncio.sleep(1.0)
        for _ in range(spent):
            assert old[0].core.rates.take(WORKSPACE, 50_000.0, old[0].now) == 0.0
        new = Entry(network, "e2", STARTED)
        await asyncio.sleep(0.6)
        return new.core.rates.take(WORKSPACE, 100_000.0, new.now)

    return run(scenario())


def test_an_entry_that_starts_knows_that_a_burst_was_spent():
    assert wait_at_a_new_entry(4) > 0


def test_an_entry_that_starts_knows_that_nothing_was_spent():
    assert wait_at_a_new_entry(0) == 0.0

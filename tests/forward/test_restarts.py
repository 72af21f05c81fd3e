"""Entries that restart, and what they must not take back into use."""

import asyncio

from helpers.forwarding_path import (
    ROUTES,
)
from helpers.restarts import fleet_of_two
from helpers.users_platform import config


async def withdraw(fleet, setups):
    """Withdraw a key and an endpoint; return a copy of the store from before."""
    copy = fleet.store.copy()
    await fleet.store.put("op/config", config(2, ROUTES, keys=("key-2",)))
    await fleet.store.remove("servers/plain-2")
    for setup in setups:
        replica = setup.entry.entry.replica
        await setup.until(lambda replica=replica: replica.table.version == 2)
        await setup.until(
            lambda replica=replica: "plain-2" not in replica.registry.endpoints
        )
    return copy


async def statuses_from_its_start(setup, key, seconds=2.0):
    """Send requests from the start of an entry on; return their statuses."""
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    statuses = []
    while loop.time() < until:
        statuses.append((await setup.ask("/read/x", key=key))[0])
        await asyncio.sleep(0.01)
    return statuses


# Only the other member knows what the store has lost.
async def test_a_restarted_entry_does_not_use_what_an_older_copy_of_the_store_lists():
    async with fleet_of_two() as (fleet, setups):
        copy = await withdraw(fleet, setups)
        await fleet.store.restore(copy)
        await setups[0].until(lambda: setups[0].entry.entry.replica.as_of.era == 2)
        await fleet.stop(2)
        fleet.workers["plain-2"].received.clear()
        restarted = await fleet.start(2)
        withdrawn, sound = await asyncio.gather(
            statuses_from_its_start(restarted, "key-1"),
            statuses_from_its_start(restarted, "key-2"),
        )
        assert 200 not in withdrawn
        assert 200 in sound
        assert not fleet.workers["plain-2"].received

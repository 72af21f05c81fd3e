"""Entries whose seeds are gone, as processes of their own."""

import asyncio
from contextlib import AsyncExitStack

from helpers.forwarding_path import ROUTES
from helpers.node_processes import node_processes
from helpers.users_platform import PlatformStore, PlatformWorker, config

RATE, BURST, OVERAGE, SLACK = 10.0, 20.0, 0.25, 20.0
BOUNDS = {"rate_overage": OVERAGE, "rate_slack": SLACK}
WINDOW_S = 8.0
ALLOWED = (RATE * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK
TENANT = {"Name": "team-a", "ApiKeys": ["key-1"], "RatePerS": RATE, "Burst": BURST}
GONE = ("entry-8", "entry-9")
RECOVERY_S = 12.0
PER_S = 30.0


def most_in_window(times):
    return max(sum(start <= at < start + WINDOW_S for at in times) for start in times)


async def start_platform(stack):
    """Start a store, a plain worker and two model workers; return store and workers."""
    store, plain = PlatformStore(), PlatformWorker("plain-1")
    models = [PlatformWorker(f"d{n}", "decode") for n in range(2)]
    for service in (store, plain, *models):
        await stack.enter_async_context(service)
    await store.put("op/config", config(1, ROUTES, Tenants=[TENANT]))
    await store.put("servers/plain-1", plain.registration("plain"))
    for worker in models:
        await store.put(f"servers/{worker.name}", worker.registration("model"))
    return store, models


# RECOVER: the last entry served nothing for 30 s, as it took the seeds that were gone
# for entries that use the whole rate.
async def test_the_last_entry_serves_its_rate_soon_after_its_start(tmp_path):
    async with AsyncExitStack() as stack:
        store, models = await start_platform(stack)
        nodes = await stack.enter_async_context(node_processes(store, tmp_path))
        nodes.write_settings("entry-1", ("entry-1", *GONE), **BOUNDS)
        for number, worker in enumerate(models, 1):
            name = f"agent-{number}"
            app = f"127.0.0.1:{worker.port}"
            nodes.write_settings(name, ("entry-1", *GONE), app, **BOUNDS)
            await nodes.start(name)
        await nodes.start("entry-1")
        await nodes.until_ready("entry-1")
        await asyncio.sleep(RECOVERY_S)
        served = []
        await nodes.press(["entry-1"], WINDOW_S, PER_S, served)
        assert len(served) >= 0.8 * RATE * WINDOW_S
        assert most_in_window(served) <= ALLOWED
        assert "evidence=agents" in nodes.log("entry-1")


# QUOTA: entries that never heard of each other used the whole rate each after 30 s.
async def test_entries_that_never_hear_of_each_other_do_not_use_a_rate_twice(tmp_path):
    async with AsyncExitStack() as stack:
        store, _ = await start_platform(stack)
        nodes = await stack.enter_async_context(node_processes(store, tmp_path))
        names = ["entry-1", "entry-2"]
        for name in names:
            nodes.write_settings(name, GONE, **BOUNDS)
            await nodes.start(name)
        for name in names:
            await nodes.until_ready(name)
        await asyncio.sleep(32.0)
        served = []
        await nodes.press(names, WINDOW_S, 2 * PER_S, served)
        # The platform now names the machines that live, and sends no signal.
        for name in names:
            nodes.write_settings(name, names, **BOUNDS)
        await nodes.press(names, 6.0, 2 * PER_S, served)
        known = []
        await nodes.press(names, WINDOW_S, 2 * PER_S, known)
        assert most_in_window(served + known) <= ALLOWED
        assert len(known) >= 0.8 * RATE * WINDOW_S

"""Entries that restart, with simulated parts of the users' platform around them."""

from contextlib import AsyncExitStack, asynccontextmanager

import aiohttp

from ebonyglade_entry.forwarding.service import ForwardingEntry
from ebonyglade_entry.forwarding.settings import ForwardSettings
from helpers.forwarding_path import ForwardingSetup, settings, start_platform
from helpers.ports import free_port


class Fleet:
    """Entries that can be started again, each with its address."""

    def __init__(self, store, workers, session):
        self.store, self.workers, self._session = store, workers, session
        self._port, self._callers, self._ready = free_port(), free_port(), free_port()
        self._running = {}

    async def start(self, number):
        ip = f"127.0.0.{number}"
        entry = ForwardingEntry(
            settings(
                ForwardSettings,
                self.store,
                instance={
                    "name": f"n{number}",
                    "address": f"tcp://{ip}:{self._port}",
                    "zone": "z1",
                },
                listen={
                    "callers": f"{ip}:{self._callers}",
                    "ready": f"{ip}:{self._ready}",
                },
                seeds=[f"127.0.0.{other}:{self._ready}" for other in (1, 2)],
            )
        )
        await entry.start()
        self._running[number] = entry
        base = f"http://{ip}:{self._callers}"
        return ForwardingSetup(self.store, self.workers, entry, self._session, base)

    async def stop(self, number):
        await self._running.pop(number).stop()

    async def stop_all(self):
        for number in list(self._running):
            await self.stop(number)


@asynccontextmanager
async def fleet_of_two():
    async with AsyncExitStack() as stack:
        store, workers = await start_platform(stack)
        session = await stack.enter_async_context(aiohttp.ClientSession())
        fleet = Fleet(store, workers, session)
        stack.push_async_callback(fleet.stop_all)
        setups = [await fleet.start(number) for number in (1, 2)]
        for setup in setups:
            await setup.until_complete(2)
        yield fleet, setups

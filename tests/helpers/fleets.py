"""Small fleets that communicate over real sockets and run in the test process."""

from contextlib import asynccontextmanager

import aiohttp

from ebonyglade_lab import demo
from ebonyglade_lab.fleet import KEY, Fleet, FleetSize


@asynccontextmanager
async def small_fleet(**sizes):
    """Run a fleet with one instance of each kind; `sizes` overrides these counts."""
    counts = {"entries": 1, "prefill": 1, "decode": 1, "service": 1, **sizes}
    fleet = Fleet(FleetSize(**counts))
    await fleet.start()
    try:
        async with aiohttp.ClientSession() as session:
            await demo.wait_ready(session, fleet)
        yield fleet
    finally:
        await fleet.stop()


async def fetch(url, method="POST", key=KEY, **options):
    """Send one request on a new connection; return status, headers and body."""
    headers = {"Authorization": f"Bearer {key}"} if key else {}
    headers.update(options.pop("headers", {}))
    async with (
        aiohttp.ClientSession(auto_decompress=False) as session,
        session.request(method, url, headers=headers, **options) as response,
    ):
        return response.status, response.headers, await response.read()

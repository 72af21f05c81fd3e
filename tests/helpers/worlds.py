"""Small virtual fleets that many tests use."""

import asyncio

from ebonyglade_lab.virtual.loop import run
from ebonyglade_lab.virtual.world import World

KEY = "aula/physics"


def small_world(seed: int = 1, entries: int = 2, pairs: int = 2) -> World:
    """Return a virtual fleet with one team, a few entries and endpoints.

    Each of the `pairs` adds a prefill engine, a decode engine and a service.
    """
    world = World(seed)
    world.publish_team("aula", ["physics", "history"], rate=50_000.0, burst=100_000.0)
    for index in range(pairs):
        world.add_engine(f"prefill-{index}", "prefill")
        world.add_engine(f"decode-{index}", "decode")
        world.add_service(f"rooms-{index}")
    for index in range(entries):
        world.add_entry(f"entry-{index}")
    return world


def in_world(scenario, **options):
    """Run a scenario on a small virtual fleet, after 1 s for members to connect."""

    async def start():
        world = small_world(**options)
        await asyncio.sleep(1)
        return await scenario(world)

    return run(start())

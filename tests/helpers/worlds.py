"""Small worlds that tests share."""

import asyncio

from ebonyglade_lab.virtual.loop import run
from ebonyglade_lab.virtual.world import World

KEY = "aula/physics"


def small_world(seed: int = 1, entries: int = 2, pairs: int = 2) -> World:
    """Return a world with one team, a few entries and endpoints."""
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
    """Run a scenario in a small world whose processes have found each other."""

    async def start():
        world = small_world(**options)
        await asyncio.sleep(1)
        return await scenario(world)

    return run(start())

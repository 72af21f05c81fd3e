"""Worlds that several experiments start from."""

from ebonyglade_lab.virtual.world import World

NO_LIMIT = 1e6  # tokens a second, and tokens at once


def model_world(seed: int, entries: int, pairs: int) -> World:
    """Return a world with one workspace, entries and pairs of model engines."""
    world = World(seed)
    world.publish_team("aula", ["physics"], rate=NO_LIMIT, burst=NO_LIMIT)
    for number in range(pairs):
        world.add_engine(f"prefill-{number}", "prefill")
        world.add_engine(f"decode-{number}", "decode")
    for number in range(entries):
        world.add_entry(f"entry-{number}")
    return world

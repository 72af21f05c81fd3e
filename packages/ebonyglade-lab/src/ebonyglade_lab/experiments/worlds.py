"""Virtual fleets that several experiments start from."""

from ebonyglade_lab.virtual.world import World

NO_LIMIT = 1e6  # rate in tokens a second, and burst in tokens


def model_world(seed: int, entries: int, pairs: int) -> World:
    """Return a virtual fleet with one workspace, entries and pairs of engines."""
    world = World(seed)
    world.publish_team("aula", ["physics"], rate=NO_LIMIT, burst=NO_LIMIT)
    for number in range(pairs):
        world.add_engine(f"prefill-{number}", "prefill")
        world.add_engine(f"decode-{number}", "decode")
    for number in range(entries):
        world.add_entry(f"entry-{number}")
    return world

"""Larger virtual worlds for configuration and membership."""

from ebonyglade_lab.virtual.world import World

ZONES = ("zone-a", "zone-b", "zone-c")


def zoned_world(seed=1, agents=12, entries=3):
    """Return a world with service agents and entries over three zones."""
    world = World(seed)
    world.publish_team("aula", ["physics"], rate=50_000.0, burst=100_000.0)
    for index in range(agents):
        world.add_service(f"rooms-{index}", ZONES[index % 3])
    for index in range(entries):
        world.add_entry(f"entry-{index}", ZONES[index % 3])
    return world


def publish_workspace(world, name="new"):
    """Publish one more workspace and return the revision."""
    path = f"teams/aula/workspaces/{name}"
    return world.platform.publish(path, rate=1.0, burst=1.0)


def behind(world, revision):
    """Return the running instances that do not have a revision yet."""
    return sorted(
        name
        for name, node in world.nodes.items()
        if not node.process.dead and node.core.config.view.revision < revision
    )

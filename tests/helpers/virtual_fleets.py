"""Virtual fleets over three availability zones, and helpers for their messages."""

from ebonyglade.wire.work import Reserved, ServiceRequest, ServiceResponse
from ebonyglade_lab.virtual.world import World

ZONES = ("zone-a", "zone-b", "zone-c")


def zoned_world(seed=1, agents=12, entries=3):
    """Return a virtual fleet of service agents and entries in three zones."""
    world = World(seed)
    world.publish_team("aula", ["physics"], rate=50_000.0, burst=100_000.0)
    for index in range(agents):
        world.add_service(f"rooms-{index}", ZONES[index % 3])
    for index in range(entries):
        world.add_entry(f"entry-{index}", ZONES[index % 3])
    return world


def publish_workspace(world, name="new"):
    """Publish one more workspace and return the configuration revision."""
    path = f"teams/aula/workspaces/{name}"
    return world.platform.publish(path, rate=1.0, burst=1.0)


def instances_behind(world, revision):
    """Return the running instances whose configuration is older than a revision."""
    return sorted(
        name
        for name, node in world.nodes.items()
        if not node.process.killed and node.core.config.view.revision < revision
    )


def record_answers(entry):
    """Make an entry record reservation and call responses instead of handling them."""
    answers = []

    def record(sender, message):
        answers.append(message)

    entry.context.handle({Reserved: record, ServiceResponse: record})
    return answers


def serve_message(attempt, answers):
    """Return a service call that uses the grant of the first recorded response."""
    grant = answers[0].grant
    return ServiceRequest(attempt, "w", "POST", "/", [], b"x", 9.0, grant=grant)

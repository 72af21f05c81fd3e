"""Cores of an entry or an agent without a network, and configurations of any size."""

import asyncio
import random
from collections.abc import Callable, Iterator

from ebonyglade.agent import AgentCore, EndpointLimits
from ebonyglade.config.view import hash_key
from ebonyglade.context import Context, Identity
from ebonyglade.entry import EntryCore
from ebonyglade.ports import Sender
from ebonyglade.wire.base import Message
from ebonyglade.wire.control import ConfigItem, ConfigUpdate
from ebonyglade_lab.virtual.loop import run

ZONES = 11
INSTANCES_PER_ENTRY = 8  # one listed instance in 8 is an entry, the others agents
NEIGHBOUR = Sender("neighbour", "neighbour#1", "tcp://127.0.0.1:1")


class NullTransport:
    """Accepts all messages, sends none of them and counts them."""

    def __init__(self) -> None:
        self.sent = 0

    def send(self, instance: str, message: Message) -> bool:
        """Count a message."""
        self.sent += 1
        return True

    def set_address(self, instance: str, address: str) -> None:
        """Do nothing."""

    def remove_peer(self, instance: str) -> None:
        """Do nothing."""

    def reconnect(self, instance: str) -> None:
        """Do nothing."""


def new_entry() -> EntryCore:
    """Return an entry's core; needs a running loop."""
    return EntryCore(_context("entry-0"))


def new_agent() -> AgentCore:
    """Return an agent's core; needs a running loop."""
    return AgentCore(_context("decode-0"), EndpointLimits())


def run_on_loop(work: Callable[[], float]) -> float:
    """Call a function inside a running virtual loop and return its result."""

    async def scenario() -> float:
        return work()

    return run(scenario())


def workspaces(count: int, first_revision: int = 2) -> Iterator[ConfigItem]:
    """Yield workspaces with one key each, a hundred in each team."""
    revision = first_revision
    for number in range(count):
        team = f"teams/team-{number // 100}"
        text = f'rate = {1000 + number}.0\nburst = 50000.0\nauthor = "bench"\n'
        yield ConfigItem(f"{team}/workspaces/w-{number}", revision, text)
        text = f'digest = "{hash_key(str(number))}"\nworkspace = "w-{number}"\n'
        yield ConfigItem(f"{team}/keys/k-{number}", revision + 1, text)
        revision += 2


def instances(count: int, first_revision: int = 2) -> Iterator[ConfigItem]:
    """Yield listed instances: an eighth entries, the rest agents."""
    for number in range(count):
        zone = f"zone-{number % ZONES}"
        address = f"tcp://10.{number % ZONES}.{number // 250}.{number % 250}:7000"
        text = f'address = "{address}"\nzone = "{zone}"\n'
        name = f"entry-{number}"
        if number % INSTANCES_PER_ENTRY:
            stage = ("prefill", "decode")[number % 2]
            name = f"{stage}-{number}"
            text += f'role = "agent"\npool = "model-{number % 10}"\nstage = "{stage}"\n'
        else:
            text += 'role = "entry"\n'
        yield ConfigItem(f"platform/instances/{name}", first_revision + number, text)


def apply_configuration(core: EntryCore | AgentCore, items: list[ConfigItem]) -> None:
    """Apply a whole configuration to a core."""
    core.config.apply_snapshot(max(item.revision for item in items), items)


def apply_change(core: EntryCore | AgentCore, item: ConfigItem) -> None:
    """Apply one change to a core, as if a neighbour relayed it."""
    known = core.config.store.revision
    push = ConfigUpdate(known, item.revision, [item])
    core.context.deliver(NEIGHBOUR, push)


def _context(name: str) -> Context:
    loop = asyncio.get_running_loop()
    return Context(
        identity=Identity(name, f"{name}#1", "zone-0"),
        transport=NullTransport(),
        clock=loop.time,
        wall_clock=loop.time,
        rng=random.Random(1),
    )

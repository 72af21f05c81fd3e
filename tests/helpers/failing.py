"""Worlds with endpoints that fail, and counts of what was sent there."""

import asyncio
from collections import Counter

from ebonyglade.wire.work import Reserve
from ebonyglade_lab.virtual.network import open_frame
from ebonyglade_lab.virtual.world import World
from helpers.worlds import KEY


class Sendings:
    """Counts the attempts that entries send to agents."""

    def __init__(self, world: World) -> None:
        self._seen: set[str] = set()
        self.by_agent: Counter[str] = Counter()
        send = world.network.send

        def record(source: str, target: str, frame: bytes) -> None:
            _, message = open_frame(frame)
            if isinstance(message, Reserve) and message.attempt not in self._seen:
                self._seen.add(message.attempt)
                self.by_agent[target] += 1
            send(source, target, frame)

        world.network.send = record

    @property
    def total(self) -> int:
        """Attempts over all agents."""
        return sum(self.by_agent.values())


async def steady(world: World, count: int, gap: float, make, entries: int = 2):
    """Send requests at a steady rate and return their outcomes."""

    async def later(number):
        await asyncio.sleep(number * gap)
        return await world.call(f"entry-{number % entries}", make(number))

    return await asyncio.gather(*(later(number) for number in range(count)))


def prompt(world: World, number: int):
    """Return a model request with a prompt of its own."""
    return world.model_call(KEY, f"prompt {number}", max_tokens=8)


def down(world: World, names) -> None:
    """Let endpoints refuse every connection."""
    for name in names:
        (world.engines.get(name) or world.services.get(name)).down = True

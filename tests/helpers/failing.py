"""Requests to virtual fleets with failing endpoints, and counts of the attempts."""

import asyncio
from collections import Counter

from ebonyglade.wire.work import Reserve
from ebonyglade_lab.virtual.network import open_frame
from ebonyglade_lab.virtual.world import World
from helpers.worlds import KEY


class AttemptCounter:
    """Counts the attempts that entries send to agents; each attempt counts once."""

    def __init__(self, world: World) -> None:
        self._counted_attempts: set[str] = set()
        self.by_agent: Counter[str] = Counter()
        send = world.network.send

        def record(source: str, target: str, frame: bytes) -> None:
            _, message = open_frame(frame)
            if (
                isinstance(message, Reserve)
                and message.attempt not in self._counted_attempts
            ):
                self._counted_attempts.add(message.attempt)
                self.by_agent[target] += 1
            send(source, target, frame)

        world.network.send = record

    @property
    def total(self) -> int:
        """Number of attempts sent to all agents."""
        return sum(self.by_agent.values())


async def send_steadily(
    world: World, count: int, interval_s: float, make_request, entries: int = 2
):
    """Send requests at a fixed interval, to the entries in turn.

    Returns:
        the outcomes in the order of sending.
    """

    async def send_request(number):
        await asyncio.sleep(number * interval_s)
        return await world.call(f"entry-{number % entries}", make_request(number))

    return await asyncio.gather(*(send_request(number) for number in range(count)))


def prompt(world: World, number: int):
    """Return a model request whose prompt differs from those of other numbers."""
    return world.model_call(KEY, f"prompt {number}", max_tokens=8)


def take_down(world: World, names) -> None:
    """Make endpoints refuse every connection."""
    for name in names:
        (world.engines.get(name) or world.services.get(name)).down = True

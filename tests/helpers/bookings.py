"""Sends bookings to a virtual fleet and checks how often they were executed."""

import asyncio
import json

from ebonyglade.once.ticket import decode_ticket
from ebonyglade_lab.virtual.world import Outcome, World
from helpers.worlds import KEY


async def ticket(world: World, entry: str = "entry-0", key: str = KEY) -> str:
    """Return a new idempotency ticket for the bookings route."""
    call = world.service_call(key, "POST", "/tickets/bookings", b"")
    outcome = await world.call(entry, call)
    assert outcome.status == 201
    return json.loads(outcome.body)["ticket"]


async def book(
    world: World, entry: str, body: bytes, ticket_text: str = "", key: str = KEY
) -> Outcome:
    """Send a booking through an entry, with an idempotency ticket if one is given."""
    return await world.call(
        entry, world.service_call(key, "POST", "/bookings", body, ticket_text)
    )


def issuing_agent(world: World, ticket_text: str) -> str:
    """Return the agent that issued a ticket."""
    return decode_ticket(ticket_text).agent


def executions(world: World, body: bytes) -> int:
    """Return how often all services together executed a booking."""
    return sum(service.executions[body] for service in world.services.values())


def code_and_verdict(outcome: Outcome) -> tuple[str, str]:
    """Return a refusal's code and verdict."""
    return outcome.refusal.code, outcome.refusal.verdict.value


async def wait_until(condition) -> None:
    """Wait on the virtual clock until the condition is true, for 60 s at most."""
    async with asyncio.timeout(60.0):
        while not condition():
            await asyncio.sleep(0.001)


class FrameRecorder:
    """Records the frames that instances send, so that copies can be sent later."""

    def __init__(self, world: World) -> None:
        self._network = world.network
        self._send = world.network.send
        self.frames: list[tuple[str, str, bytes]] = []
        world.network.send = self._record

    def _record(self, source: str, target: str, frame: bytes) -> None:
        self.frames.append((source, target, frame))
        self._send(source, target, frame)

    def resend(self, source: str) -> None:
        """Send copies of all frames that `source` has sent so far."""
        for frame in [item for item in self.frames if item[0] == source]:
            self._send(*frame)

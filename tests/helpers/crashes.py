"""Decode endpoints that crash under some requests and come back as new instances."""

import asyncio
from dataclasses import dataclass, field

import aiohttp

from ebonyglade.completeness import Framing
from helpers.scripted_answers import ScriptedAnswer, reset

EVENT = b"id: 1\ndata: a\n\n"

# What an endpoint has sent when it crashes, and how its connections end.
CRASH_POINTS = {
    "before_its_head": None,
    "after_its_head": ((), "early"),
    "after_its_head_by_reset": ((), "reset"),
    "inside_its_first_event": ((EVENT[:-4],), "early"),
    "after_an_event": ((EVENT,), "early"),
    "inside_its_second_event": ((EVENT, EVENT[:-4]), "reset"),
}


@dataclass
class CrashingEndpoint:
    """Replaces the answers of an endpoint of the platform by crashes.

    Attributes:
        store: store in which the endpoint is listed.
        worker: the endpoint.
        crashes_under: tells whether a request, by headers and body, crashes it.
        point: what it has sent when it crashes, see `CRASH_POINTS`.
        framing: what marks the end of its answers.
        keeps_id: whether it comes back with the same id.
        down_s: seconds until it is listed again.
        crashes: number of crashes; runs that end together are one.
        ended: instances that crashed.
        sent: bodies of the requests that were sent to it.
    """

    store: object
    worker: object
    crashes_under: object
    point: str = "after_an_event"
    framing: Framing = Framing.CHUNKS
    keeps_id: bool = False
    down_s: float = 0.1
    crashes: int = 0
    ended: set = field(default_factory=set)
    sent: list = field(default_factory=list)
    _open: set = field(default_factory=set)
    _restart: asyncio.Task | None = None

    def __post_init__(self):
        self.worker.answer = self.worker.prefill_answer = self
        self.listed_as = self.worker.name
        self.service = "model" if self.worker.stage else "plain"

    async def send(self, request, headers):
        """Crash under the request, or return so that it is answered as usual."""
        body = await request.read()
        self.sent.append(body)
        if not self.crashes_under(request.headers, body):
            self._open.add(request.transport)
            return
        if self.worker.name not in self.ended or self.keeps_id:
            self.crashes += 1
            self.ended.add(self.worker.name)
            self._restart = asyncio.create_task(self._come_back())
        for transport in self._open:
            transport.abort()
        self._open.clear()
        if CRASH_POINTS[self.point] is None:
            reset(request.transport)
            await asyncio.Event().wait()
        parts, end = CRASH_POINTS[self.point]
        await ScriptedAnswer(self.framing, parts, end).send(request, headers)

    async def _come_back(self):
        """Register as a new instance, as an endpoint does that was started again."""
        listed_as = self.worker.name
        if not self.keeps_id:
            self.worker.name = f"{self.listed_as}-{self.crashes}"
        self.worker.born_ms += 1
        self.worker.holds.clear()
        await self.store.remove(f"servers/{listed_as}")
        await asyncio.sleep(self.down_s)
        registration = self.worker.registration(self.service)
        await self.store.put(f"servers/{self.worker.name}", registration)

    def is_known(self, entry):
        """Return whether an entry knows the instance that runs now."""
        listed = entry.entry.replica.registry.endpoints.get(self.worker.name)
        return listed is not None and listed.born_ms == self.worker.born_ms


async def ask(setup, endpoint, body, target="/write/x", **headers):
    """Send a request, and wait until the endpoint is known again."""
    try:
        status, _, _ = await setup.ask(target, "POST", body=body, **headers)
    except aiohttp.ClientError:
        status = None
    await setup.until(lambda: endpoint.is_known(setup.entry))
    return status

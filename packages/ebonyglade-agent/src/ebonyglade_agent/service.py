"""The agent as one service made of its parts."""

import asyncio
import logging

import aiohttp
from mode import Service

from ebonyglade.wire.messages import Leaving
from ebonyglade.worker.slots import SlotTable
from ebonyglade.worker.worker import Worker
from ebonyglade_agent.engine import HttpEngine, HttpService, new_session
from ebonyglade_agent.settings import AgentSettings
from ebonyglade_node.runtime import Node, clock
from ebonyglade_node.status import StatusServer

logger = logging.getLogger(__name__)

TICK_S = 0.25
DRAIN_POLL_S = 0.05


class Agent(Service):
    """Takes work from entries and runs it at its endpoint."""

    def __init__(self, settings: AgentSettings) -> None:
        super().__init__()
        self._settings = settings
        self.node = Node(settings)
        self.status = StatusServer(settings.status, self.node)
        self._session: aiohttp.ClientSession | None = None
        self.worker: Worker | None = None

    def on_init_dependencies(self) -> list[Service]:
        """Start the shared parts first."""
        return [self.node, self.status]

    async def on_start(self) -> None:
        """Connect the endpoint and start to take work."""
        section = self._settings.endpoint
        self._session = new_session()
        makers = {"engine": (HttpEngine, None), "service": (None, HttpService)}
        engine, service = makers[section.kind]
        self.worker = Worker(
            engine(section.url, self._session) if engine else None,
            service(section.url, self._session) if service else None,
            self.node.link,
            clock,
            SlotTable(section.slots, section.pieces, section.lease_s),
            section.prefill_slots,
        )
        self.node.link.handle(self.worker.handlers)
        self.node.timers.subscribe(TICK_S, self.worker.tick, clock())
        self.node.metrics.gauge("busy", lambda: self.worker.busy)

    async def on_stop(self) -> None:
        """Close the connections to the endpoint."""
        if self._session is not None:
            await self._session.close()

    async def drain(self) -> None:
        """Announce the stop, refuse new work and finish what is under way."""
        section = self._settings.endpoint
        for instance in self.node.link.known():
            self.node.link.send(instance, Leaving())
        self.worker.drain()
        await asyncio.sleep(section.leave_s)
        try:
            async with asyncio.timeout(section.drain_s):
                while self.worker.busy:
                    await asyncio.sleep(DRAIN_POLL_S)
        except TimeoutError:
            logger.error("jobs were cut off", extra={"open": self.worker.busy})

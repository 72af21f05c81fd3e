"""The agent daemon: connects the agent's logic to sockets and clocks."""

import asyncio
import logging

import aiohttp
from mode import Service

from ebonyglade.agent import AgentCore, EndpointLimits
from ebonyglade.ports import EngineError
from ebonyglade_agent.engine import (
    HttpEngine,
    HttpService,
    new_query_session,
    new_session,
)
from ebonyglade_agent.settings import AgentSettings
from ebonyglade_node.runtime import Node
from ebonyglade_node.status import StatusServer

logger = logging.getLogger(__name__)

DRAIN_POLL_INTERVAL_S = 0.05
CACHE_POLL_INTERVAL_S = 1.0


class Agent(Service):
    """Accepts work from entries and runs it at its endpoint."""

    def __init__(self, settings: AgentSettings) -> None:
        super().__init__()
        self._settings = settings
        self.node = Node(settings)
        self.core: AgentCore | None = None
        self._session: aiohttp.ClientSession | None = None
        self._query_session: aiohttp.ClientSession | None = None

    async def on_start(self) -> None:
        """Create the endpoint's clients and start to accept work."""
        section = self._settings.endpoint
        self._session = new_session()
        self._query_session = new_query_session()
        engine, service = None, None
        if section.kind == "engine":
            engine = HttpEngine(section.url, self._session, self._query_session)
        else:
            service = HttpService(section.url, self._session)
        self.core = AgentCore(
            self.node.context,
            EndpointLimits(
                section.slots,
                section.pieces,
                section.prefill_slots,
                section.lease_s,
                section.resumes,
            ),
            engine,
            service,
            lease_times=self._settings.ownership.lease_times(),
        )
        self.node.attach(self.core)
        self.node.metrics.gauge("busy", lambda: self.core.worker.unfinished)
        await self.add_runtime_dependency(self.node)
        await self.add_runtime_dependency(
            StatusServer(self._settings.status, self.node)
        )
        if engine is not None:
            self.add_future(self._poll_cache_events(engine))

    async def _poll_cache_events(self, engine: HttpEngine) -> None:
        """Report the engine's cache events; they are hints, so some may be lost."""
        seq = 0
        while not self.should_stop:
            await asyncio.sleep(CACHE_POLL_INTERVAL_S)
            try:
                events = await engine.cache_events(seq)
            except EngineError:
                continue
            for event in events:
                self.core.reports.cache_event(event.seq, event.stored, event.evicted)
                seq = event.seq

    async def on_stop(self) -> None:
        """Close the connections to the endpoint."""
        for session in (self._session, self._query_session):
            if session is not None:
                await session.close()

    async def drain(self) -> None:
        """Announce the shutdown, refuse new work and finish the active jobs."""
        section = self._settings.endpoint
        worker = self.core.worker
        self.core.drain()
        await asyncio.sleep(section.leave_s)
        try:
            async with asyncio.timeout(section.drain_s):
                while worker.unfinished:
                    await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        except TimeoutError:
            logger.error(
                "shutdown timeout: jobs were cut off", extra={"open": worker.unfinished}
            )

"""The agent beside a model endpoint: its decisions with sockets and clocks."""

import asyncio
import logging

import aiohttp
from mode import Service

from ebonyglade.audit import AuditTrail
from ebonyglade.forward.belief import log_change
from ebonyglade.forward.keeper import Keeper, Order
from ebonyglade_agent.staging.settings import StagingSettings
from ebonyglade_node.forward_node import ForwardNode

logger = logging.getLogger(__name__)

CALL_S = 1.0  # the endpoint is on the same machine
ACCEPTED = (200, 202)


class Staging(Service):
    """Orders the endpoint beside it and tells entries of its memory."""

    def __init__(self, settings: StagingSettings, path: str = "") -> None:
        super().__init__()
        self._path = path
        self._settings = settings
        self.node = ForwardNode(settings)
        self.keeper: Keeper | None = None
        self._reached = True

    async def on_start(self) -> None:
        """Start all parts."""
        await self.add_runtime_dependency(self.node)
        context = self.node.context
        self.keeper = Keeper(
            context,
            self.node.adapter,
            self._settings.endpoint.address,
            self._settings.seed_addresses(),
            AuditTrail(context.wall, listener=log_change),
        )
        await self.node.join(self.keeper.belief)
        self.keeper.start()
        logger.info("started", extra={"seeds": len(self._settings.seeds)})

    @Service.task
    async def _poll(self) -> None:
        section = self._settings.endpoint
        while not self.should_stop and section.address:
            await asyncio.sleep(section.poll_ms / 1000)
            if self.keeper is None or self.node.client is None:
                continue
            try:
                await self._look(section.address)
                self._note_reached(True)
            except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
                self._note_reached(False, str(error) or type(error).__name__)

    async def _look(self, address: str) -> None:
        adapter = self.node.adapter
        status, body = await self.node.client.call(
            address, adapter.report_call(), CALL_S
        )
        if status != 200:
            raise ValueError(f"status {status}")
        order = self.keeper.reported(adapter.decode_report(body))
        if order is not None:
            await self._give(address, order)

    async def _give(self, address: str, order: Order) -> None:
        call = self.node.adapter.stage_call(
            order.stage, self._settings.instance.name, order.fence, order.expected
        )
        status, _ = await self.node.client.call(address, call, CALL_S)
        self.node.metrics.count("orders")
        log = logger.info if status in ACCEPTED else logger.warning
        log(
            "order given",
            extra={
                "stage": order.stage.value,
                "fence": order.fence,
                "orders_before": order.expected,
                "status": status,
            },
        )

    def _note_reached(self, reached: bool, reason: str = "") -> None:
        if reached is not self._reached:
            text = "endpoint regained" if reached else "endpoint lost"
            logger.info(text, extra={"reason": reason})
        self._reached = reached

    def reload(self) -> None:
        """Take changed settings, as far as that needs no restart."""
        self.node.reload(self._path, self.keeper.members)

    async def drain(self) -> None:
        """Tell the others; no request depends on this process."""
        self.keeper.members.farewell()
        logger.info("stopped")

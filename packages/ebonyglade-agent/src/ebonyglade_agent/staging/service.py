"""The staging agent: connects its logic to sockets, clocks and the endpoint."""

import asyncio
import logging

from mode import Service

from ebonyglade.audit import AuditTrail
from ebonyglade.forward.agent import ForwardAgent, StageOrder
from ebonyglade.forward.store.store_replica import log_store_change
from ebonyglade_agent.staging.settings import StagingSettings
from ebonyglade_node.endpoint_client import CALL_ERRORS
from ebonyglade_node.forward_node import ForwardNode
from ebonyglade_node.settings_watch import SettingsWatch

logger = logging.getLogger(__name__)

CALL_TIMEOUT_S = 1.0  # short, as the endpoint is on the same machine
ACCEPTED_STATUSES = (200, 202)


class StagingAgent(Service):
    """Sets the stage of its model endpoint and grants its memory to entries."""

    def __init__(self, settings: StagingSettings, path: str = "") -> None:
        super().__init__()
        self._path = path
        self._settings = settings
        self.node = ForwardNode(settings)
        self.agent: ForwardAgent | None = None
        self._reachable = True

    async def on_start(self) -> None:
        """Start all parts."""
        await self.add_runtime_dependency(self.node)
        context = self.node.context
        self.agent = ForwardAgent(
            context,
            self.node.adapter,
            self._settings.endpoint.address,
            self._settings.seed_addresses(),
            AuditTrail(context.wall_clock, listener=log_store_change),
            self._settings.instance.link_mbps,
            self._settings.bounds.cold_bounds(),
        )
        await self.node.join(self.agent.replica_sync, self.agent.members)
        self.agent.start()
        await self.add_runtime_dependency(SettingsWatch(self._path, self.reload))
        logger.info("started", extra={"seeds": len(self._settings.seeds)})

    @Service.task
    async def _poll(self) -> None:
        section = self._settings.endpoint
        while not self.should_stop and section.address:
            await asyncio.sleep(section.poll_ms / 1000)
            if self.agent is None or self.node.client is None:
                continue
            try:
                await self._poll_once(section.address)
                self._set_reachable(True)
            except (*CALL_ERRORS, ValueError) as error:
                self._set_reachable(False, str(error) or type(error).__name__)
            except Exception:
                # The end of this task would be the end of the process.
                logger.exception("polling the endpoint failed")

    async def _poll_once(self, address: str) -> None:
        adapter = self.node.adapter
        sent_at = self.node.context.clock()
        # A copy of an earlier report is outdated only until the next one.
        response = await self.node.client.call(
            address, adapter.report_call(), CALL_TIMEOUT_S, reuse=True
        )
        metadata = adapter.read_answer(response.status, response.headers)
        if metadata.leaving:
            self.agent.on_leaving()
        self.agent.on_cold_time(metadata, sent_at)
        if response.status != 200:
            raise ValueError(f"status {response.status}")
        order = self.agent.on_report(adapter.decode_report(response.body))
        if order is not None:
            await self._send_order(address, order)

    async def _send_order(self, address: str, order: StageOrder) -> None:
        call = self.node.adapter.stage_call(
            order.stage,
            self._settings.instance.name,
            order.fencing_token,
            order.accepted_orders,
        )
        response = await self.node.client.call(address, call, CALL_TIMEOUT_S)
        self.node.metrics.count("orders")
        accepted = response.status in ACCEPTED_STATUSES
        log = logger.info if accepted else logger.warning
        log(
            "stage order sent",
            extra={
                "stage": order.stage.value,
                "fence": order.fencing_token,
                "orders_before": order.accepted_orders,
                "status": response.status,
            },
        )

    def _set_reachable(self, reachable: bool, reason: str = "") -> None:
        if reachable is not self._reachable:
            text = "endpoint reachable again" if reachable else "endpoint unreachable"
            logger.info(text, extra={"reason": reason})
        self._reachable = reachable

    def reload(self) -> None:
        """Apply those changed settings that need no restart.

        What changes while this process starts is applied when it has started.
        """
        if self.agent is not None:
            self.node.reload(self._path, self.agent.members)

    async def drain(self) -> None:
        """Announce the shutdown; no active request depends on this process."""
        self.agent.members.announce_shutdown()
        logger.info("stopped")

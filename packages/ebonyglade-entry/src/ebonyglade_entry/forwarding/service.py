"""The forwarding entry: connects its logic to sockets and clocks."""

import logging

from mode import Service

from ebonyglade.forward.entry import ForwardEntry, ForwardLimits
from ebonyglade.forward.rates.tolerance import RateTolerance
from ebonyglade_entry.forwarding.server import ForwardServer
from ebonyglade_entry.forwarding.settings import ForwardSettings
from ebonyglade_node.forward_node import ForwardNode
from ebonyglade_node.settings_watch import SettingsWatch

logger = logging.getLogger(__name__)

# Keys are accepted until this long before the published bound on revoked keys. A
# request is sent before its key is checked, so each request that is admitted was
# also sent within the bound. The margin covers clocks that run at different rates.
KEY_AGE_MARGIN_S = 0.2
# An entry may use this share of the published bound on changes after it heard of one;
# the rest covers the time until it hears of it.
OUTDATED_SHARE = 0.5


class ForwardingEntry(Service):
    """Serves callers and sends their requests directly to endpoints."""

    def __init__(self, settings: ForwardSettings, path: str = "") -> None:
        super().__init__()
        self._path = path
        self._settings = settings
        self.node = ForwardNode(settings)
        self.entry: ForwardEntry | None = None
        self.server: ForwardServer | None = None

    async def on_start(self) -> None:
        """Start all parts; start to listen for callers last."""
        await self.add_runtime_dependency(self.node)
        bounds = self._settings.bounds
        revoke_s = bounds.revoke_ms / 1000
        limits = ForwardLimits(
            max_key_age_s=revoke_s - KEY_AGE_MARGIN_S if bounds.fail_closed else None,
            budget=bounds.retry_budget_limits(),
            rates=RateTolerance(
                bounds.rate_overage,
                bounds.rate_slack,
                self._settings.instance.first_start,
            ),
            capacity=self._settings.instance.link_mbps,
            max_outdated_s=OUTDATED_SHARE * bounds.apply_ms / 1000,
            bodies=self._settings.responses.body_limits(
                self._settings.instance.memory_mb
            ),
            cold=bounds.cold_bounds(),
        )
        self.entry = ForwardEntry(
            self.node.context,
            self.node.adapter,
            self.node.port,
            limits,
            self._settings.seed_addresses(),
            self._settings.zones,
        )
        self.server = ForwardServer(
            self._settings.listen, self.node, self.entry, bounds.grace_s
        )
        metrics = self.node.metrics
        metrics.gauge(
            "waiting", self.entry.generation_dispatcher.reserver.waiting_requests
        )
        metrics.gauge("open_requests", lambda: self.server.drainer.open_requests)
        metrics.gauge("buffered_bytes", lambda: self.entry.buffers.used)
        metrics.gauge("buffers_given_up", lambda: self.entry.buffers.given_up)
        metrics.gauge("buffered_bytes_peak", lambda: self.entry.buffers.peak)
        metrics.gauge("cold_endpoints", self.entry.endpoint_limits.cold.count)
        metrics.gauge("members", lambda: len(self.entry.members.all()))
        await self.node.join(self.entry.replica_sync, self.entry.members)
        self.entry.start()
        await self.add_runtime_dependency(self.server)
        await self.add_runtime_dependency(SettingsWatch(self._path, self.reload))
        logger.info("started", extra={"seeds": len(self._settings.seeds)})

    def reload(self) -> None:
        """Apply those changed settings that need no restart.

        What changes while this process starts is applied when it has started.
        """
        if self.entry is not None:
            self.node.reload(self._path, self.entry.members)

    async def drain(self) -> None:
        """Report not ready, finish the active requests and tell the other members."""
        logger.info("stopping", extra={"open": self.server.drainer.open_requests})
        await self.server.drain()
        self.entry.members.announce_shutdown()
        logger.info("stopped")

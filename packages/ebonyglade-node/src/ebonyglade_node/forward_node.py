"""Parts shared by the daemons that reach their platform through an adapter."""

import logging

from mode import Service

from ebonyglade.context import Identity
from ebonyglade.errors import UserError
from ebonyglade.forward.adapter import load_adapter
from ebonyglade.forward.members import FleetMembers
from ebonyglade.forward.store.replica_sync import ReplicaSync
from ebonyglade.forward.store.store_readers import reader_choice
from ebonyglade_node import logs
from ebonyglade_node.clocks import boottime_clock
from ebonyglade_node.endpoint_client import EndpointClient
from ebonyglade_node.endpoint_port import HttpEndpointPort
from ebonyglade_node.forward_settings import ForwardNodeSettings
from ebonyglade_node.link import Link
from ebonyglade_node.metrics import Metrics
from ebonyglade_node.process_context import new_context, new_incarnation
from ebonyglade_node.settings import load
from ebonyglade_node.store_reader import StoreReader
from ebonyglade_node.timers import TimerRunner

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 0.3  # machines of the same region accept connections sooner


class ForwardNode(Service):
    """Link, timers, metrics, HTTP client and store reader of one process."""

    def __init__(self, settings: ForwardNodeSettings) -> None:
        super().__init__()
        self.settings = settings
        self._in_file = settings
        self.metrics = Metrics()
        self.adapter = load_adapter(settings.store.adapter)
        instance = settings.instance
        incarnation = new_incarnation()
        self.link = Link(
            instance.link_section(),
            settings.fleet,
            incarnation,
            self.metrics,
            queue_unconnected=False,
        )
        identity = Identity(
            instance.address, incarnation, instance.zone, instance.region
        )
        self.context = new_context(identity, self.link, boottime_clock, self.metrics)
        self.link.on_message = self.context.deliver
        self.timer_runner = TimerRunner(self.context)
        self.client: EndpointClient | None = None
        self.port: HttpEndpointPort | None = None

    async def on_start(self) -> None:
        """Open the HTTP client."""
        self.client = EndpointClient(CONNECT_TIMEOUT_S, self.adapter.REQUEST_ID)
        self.port = HttpEndpointPort(self.adapter, self.client)

    async def join(self, replica_sync: ReplicaSync, members: FleetMembers) -> None:
        """Start the link, the timers and the reader of the store."""
        settings = self.settings.store
        replica = replica_sync.replica
        reader = StoreReader(
            settings.address,
            settings.wait_ms / 1000,
            self.adapter,
            self.client,
            replica,
            self.context.clock,
            self.metrics,
            reader_choice(members, replica_sync),
        )
        self.metrics.gauge("log_lines_dropped", logs.dropped_lines)
        self.metrics.gauge("store_era", lambda: replica.as_of.era)
        self.metrics.gauge("zones_evacuated", lambda: len(replica.evacuations.zones))
        self.metrics.gauge("store_revision", lambda: replica.as_of.revision)
        self.metrics.gauge(
            "store_age_seconds", lambda: replica.age(self.context.clock())
        )
        for service in (self.link, self.timer_runner, reader):
            await self.add_runtime_dependency(service)

    def reload(self, path: str, members: FleetMembers) -> None:
        """Read the settings file again and apply the seeds that it lists now.

        Nothing happens if it is as it was when it was last read. No other setting is
        applied without a restart; the log lists those that changed.

        Args:
            path: path of the settings file.
            members: membership that uses the seeds.
        """
        try:
            loaded = load(path, type(self.settings))
        except UserError as error:
            logger.warning("settings rejected", extra={"reason": str(error)})
            return
        if loaded == self._in_file:
            return
        self._in_file = loaded
        changed = sorted(
            name
            for name in type(loaded).model_fields
            if getattr(loaded, name) != getattr(self.settings, name)
        )
        members.set_seeds(loaded.seed_addresses())
        logger.info(
            "settings reloaded",
            extra={
                "seeds": len(loaded.seeds),
                "others": len(loaded.seed_addresses()),
                "needs_restart": ",".join(name for name in changed if name != "seeds"),
            },
        )

    async def on_stop(self) -> None:
        """Close the HTTP client."""
        if self.client is not None:
            await self.client.close()

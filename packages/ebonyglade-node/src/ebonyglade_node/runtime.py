"""Parts shared by the daemons where agents send the requests to endpoints."""

import asyncio
import logging
from typing import Protocol

from mode import Service

from ebonyglade.config.controller import ConfigController
from ebonyglade.config.relay import Relay
from ebonyglade.context import Identity
from ebonyglade.events import Event
from ebonyglade.members.health import PeerChange
from ebonyglade.members.peers import Peers
from ebonyglade.ports import Sender
from ebonyglade.wire.base import Message
from ebonyglade_node.link import Link
from ebonyglade_node.metrics import Metrics
from ebonyglade_node.platform import PlatformWatcher
from ebonyglade_node.process_context import new_context, new_incarnation
from ebonyglade_node.settings import NodeSettings
from ebonyglade_node.timers import TimerRunner

logger = logging.getLogger(__name__)

IDLE_CHECK_INTERVAL_S = 10.0  # interval at which idle connections are closed


class Core(Protocol):
    """Common interface of `EntryCore` and `AgentCore`."""

    peers: Peers
    config: ConfigController
    relay: Relay


def loop_clock() -> float:
    """Return the monotonic time of the running event loop in seconds."""
    return asyncio.get_running_loop().time()


class Node(Service):
    """Link, timers, metrics and platform watcher of one process."""

    def __init__(self, settings: NodeSettings) -> None:
        super().__init__()
        self.settings = settings
        self.metrics = Metrics()
        instance = settings.instance
        incarnation = new_incarnation()
        self.link = Link(instance, settings.fleet, incarnation, self.metrics)
        identity = Identity(instance.id, incarnation, instance.zone, instance.region)
        self.context = new_context(identity, self.link, loop_clock, self.metrics)
        self.timer_runner = TimerRunner(self.context)
        self.config: ConfigController | None = None
        self._core: Core | None = None
        self._watcher: PlatformWatcher | None = None
        for peer in settings.peers:
            self.link.set_address(peer.id, peer.address)

    def attach(self, core: Core) -> None:
        """Connect the core to the link, the platform watcher and the metrics."""
        self._core = core
        self.config = core.config
        self.link.on_message = self._on_message
        self._watcher = PlatformWatcher(
            self.settings.platform, self.metrics, core.config, core.relay
        )
        self.metrics.gauge("config_revision", lambda: core.config.store.revision)
        self.metrics.gauge("config_followers", lambda: len(core.relay.followers))
        self.metrics.gauge("config_reader", lambda: int(core.relay.reads_platform))
        self.context.every(IDLE_CHECK_INTERVAL_S, self.link.close_idle)
        self.context.events.listen(Event.PEER_CHANGED, _log_peer_change)

    def on_init_dependencies(self) -> list[Service]:
        """Start the link before anything that sends."""
        return [self.link, self.timer_runner, self._watcher]

    async def on_started(self) -> None:
        """Start the relay; the peers may have a newer configuration revision."""
        self._core.relay.start(tuple(peer.id for peer in self.settings.peers))

    def _on_message(self, sender: Sender, message: Message) -> None:
        self._core.peers.on_message_received(sender)
        self.context.deliver(sender, message)


def _log_peer_change(instance: str, change: PeerChange, incarnation: str) -> None:
    logger.info("peer changed", extra={"peer": instance, "change": change.value})

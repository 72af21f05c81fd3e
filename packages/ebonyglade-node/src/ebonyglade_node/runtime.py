"""The services that every daemon is built from."""

import asyncio
import logging
import secrets

from mode import Service

from ebonyglade.config.view import View
from ebonyglade.timer import TimerService
from ebonyglade_node.configuration import ConfigController
from ebonyglade_node.link import Link
from ebonyglade_node.metrics import Metrics
from ebonyglade_node.platform import PlatformWatcher
from ebonyglade_node.settings import NodeSettings
from ebonyglade_node.timers import TimerRunner

logger = logging.getLogger(__name__)

HEARTBEAT_S = 1.0
INCARNATION_BYTES = 8


def clock() -> float:
    """Return the running loop's monotonic seconds."""
    return asyncio.get_running_loop().time()


class Node(Service):
    """Link, timers, configuration and platform watch of one process."""

    def __init__(self, settings: NodeSettings) -> None:
        super().__init__()
        self.settings = settings
        self.incarnation = secrets.token_hex(INCARNATION_BYTES)
        self.metrics = Metrics()
        self.timers = TimerService()
        self.link = Link(
            settings.instance, settings.fleet, self.incarnation, self.metrics, clock
        )
        self.config = ConfigController(self.link)
        self.runner = TimerRunner(self.timers, clock)
        self.watcher = PlatformWatcher(
            settings.platform, self.metrics, self.config.take_snapshot
        )
        self._wire()

    def on_init_dependencies(self) -> list[Service]:
        """Start the link before anything that sends."""
        return [self.link, self.runner, self.watcher]

    async def on_start(self) -> None:
        """Subscribe to the timers."""
        now = clock()
        self.timers.subscribe(HEARTBEAT_S, self.link.tick, now)

    async def on_started(self) -> None:
        """Greet the neighbours, who may know a newer revision."""
        self.link.tick(clock())

    def _wire(self) -> None:
        self.link.handle(self.config.handlers)
        self.link.tell_revision(lambda: self.config.store.revision)
        self.link.on_revision.append(self.config.heard_revision)
        self.config.on_view.append(self._learn_addresses)
        self.runner.on_pause.append(lambda gap: self.link.health.reset(clock()))
        self.metrics.gauge("config_revision", lambda: self.config.store.revision)
        for peer in self.settings.peers:
            self.link.learn(peer.id, peer.address)

    def _learn_addresses(self, view: View) -> None:
        for name, instance in view.instances.items():
            self.link.learn(name, instance.address)

"""The entry daemon: connects the entry's logic to sockets and clocks."""

from mode import Service

from ebonyglade.entry import EntryCore
from ebonyglade.events import Event
from ebonyglade_entry.server import HttpServer
from ebonyglade_entry.settings import EntrySettings
from ebonyglade_node.runtime import Node
from ebonyglade_node.status import StatusServer


class Entry(Service):
    """Serves callers and sends their requests to agents."""

    def __init__(self, settings: EntrySettings) -> None:
        super().__init__()
        self._settings = settings
        self.node = Node(settings)
        self.core: EntryCore | None = None
        self.http: HttpServer | None = None

    async def on_start(self) -> None:
        """Start all parts; start to listen for callers last."""
        self.core = EntryCore(self.node.context, self._settings.ownership.lease_times())
        self.node.attach(self.core)
        self.http = HttpServer(self._settings.http, self.node, self.core.run)
        metrics = self.node.metrics
        metrics.gauge("open_requests", lambda: self.http.drainer.open_requests)
        metrics.gauge("groups_held", lambda: self.core.ownership.held)
        metrics.gauge("dropped_answers", lambda: self.core.exchange.dropped)
        await self.add_runtime_dependency(self.node)
        await self.add_runtime_dependency(
            StatusServer(self._settings.status, self.node)
        )
        await self.add_runtime_dependency(self.http)

    async def drain(self) -> None:
        """Announce the shutdown and finish the active requests."""
        self.node.context.events.send(Event.DRAINING)
        await self.http.drainer.drain()

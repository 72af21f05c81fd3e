"""Holds what an entry needs to choose endpoints, updated by messages."""

from ebonyglade.config.view import ConfigView
from ebonyglade.context import Context
from ebonyglade.events import Event
from ebonyglade.placement.choice import PlacementSnapshot
from ebonyglade.placement.loads import AgentLoads
from ebonyglade.placement.prefixes import PrefixIndex
from ebonyglade.placement.subset import Subsets
from ebonyglade.ports import Sender
from ebonyglade.wire.cache import CacheChanged
from ebonyglade.wire.control import LoadReport


class PlacementState:
    """Loads, prefix hints and subsets that one entry chooses endpoints from.

    Attributes:
        loads: load of the endpoints, from reports and this entry's attempts.
        prefixes: hints about cached prefixes.
        subsets: the endpoints that this entry uses.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self.loads = AgentLoads()
        self.prefixes = PrefixIndex()
        self.subsets = Subsets(context.identity.instance)
        self._view = ConfigView()
        context.events.listen(Event.VIEW_CHANGED, self._on_view)
        context.handle({LoadReport: self._on_load, CacheChanged: self._on_cache})

    def snapshot(self) -> PlacementSnapshot:
        """Return what to choose endpoints from now.

        It holds the present configuration, not that of a request's arrival, since
        the request may have waited for long.
        """
        view = self._view
        zone = (
            view.zone_of(self._context.identity.instance) or self._context.identity.zone
        )
        return PlacementSnapshot(view, self.subsets, self.loads, self.prefixes, zone)

    def forget(self, instance: str) -> None:
        """Remove the reports of an agent that died or restarted."""
        self.loads.forget(instance)
        self.prefixes.drop(instance)

    def _on_view(self, view: ConfigView) -> None:
        self._view = view

    def _on_load(self, sender: Sender, message: LoadReport) -> None:
        self.loads.report(sender.instance, message, self._context.clock())

    def _on_cache(self, sender: Sender, message: CacheChanged) -> None:
        self.prefixes.apply(
            sender.instance,
            sender.incarnation,
            message.seq,
            message.stored,
            message.evicted,
            self._context.clock(),
        )

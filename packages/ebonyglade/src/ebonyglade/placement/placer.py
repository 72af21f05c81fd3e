"""What an entry knows for its choices, kept up by messages."""

from ebonyglade.config.view import View
from ebonyglade.context import Context
from ebonyglade.events import Event
from ebonyglade.placement.choice import Sight
from ebonyglade.placement.loads import Loads
from ebonyglade.placement.prefixes import PrefixIndex
from ebonyglade.placement.subset import Subsets
from ebonyglade.ports import Sender
from ebonyglade.wire.cache import CacheChanged
from ebonyglade.wire.control import Load


class Placer:
    """Loads, prefix hints and subsets of one entry.

    Attributes:
        loads: load of the endpoints, as reported and as begun here.
        prefixes: hints on cached prefixes.
        subsets: the endpoints that this entry uses.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self.loads = Loads()
        self.prefixes = PrefixIndex()
        self.subsets = Subsets(context.me.instance)
        self._view = View()
        context.events.listen(Event.VIEW_CHANGED, self._on_view)
        context.handle({Load: self._on_load, CacheChanged: self._on_cache})

    def sight(self) -> Sight:
        """Return what a choice is made from.

        A request may have waited for long, so the list is that of now and not
        the one of its arrival.
        """
        view = self._view
        zone = view.zone_of(self._context.me.instance) or self._context.me.zone
        return Sight(view, self.subsets, self.loads, self.prefixes, zone)

    def forget(self, instance: str) -> None:
        """Drop what a process told that is gone."""
        self.loads.forget(instance)
        self.prefixes.drop(instance)

    def _on_view(self, view: View) -> None:
        self._view = view

    def _on_load(self, sender: Sender, message: Load) -> None:
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

"""Which agents get no new work, and until when."""

from collections import defaultdict
from enum import Enum

from ebonyglade.config.view import View
from ebonyglade.context import Context
from ebonyglade.events import Event
from ebonyglade.members.health import Change
from ebonyglade.members.peers import Peers
from ebonyglade.ports import Sender

OWNER = "leaving"  # of the peers that are held


class Reason(Enum):
    """Why an agent is avoided."""

    SILENT = "silent"
    LEAVING = "leaving"


class Avoidance:
    """Keeps the set of agents not to use, each with its reasons.

    Silence ends when the agent is heard. A stop that was announced ends when
    another process runs there, or when the list's entry is published anew as
    live; being heard does not end it.
    """

    def __init__(self, context: Context, peers: Peers, avoid: set[str]) -> None:
        self._peers = peers
        self._avoid = avoid
        self._reasons: dict[str, set[Reason]] = defaultdict(set)
        self._left: dict[str, tuple[str, object]] = {}
        self._view = View()
        context.events.listen(Event.PEER_CHANGED, self._on_peer)
        context.events.listen(Event.VIEW_CHANGED, self._on_view)
        context.events.listen(Event.PEER_FORGOTTEN, self.forget)

    def leaving(self, sender: Sender) -> None:
        """Give nothing new to an instance that announced its stop."""
        if sender.instance not in self._left:
            entry = self._view.instances.get(sender.instance)
            self._left[sender.instance] = (sender.incarnation, entry)
        self._add(sender.instance, Reason.LEAVING)
        # Heartbeats tell when another process runs there.
        self._peers.hold(sender.instance, OWNER, sender.incarnation)

    def forget(self, instance: str) -> None:
        """Drop everything about an instance that left."""
        self._reasons.pop(instance, None)
        if self._left.pop(instance, None) is not None:
            self._peers.release(instance, OWNER)
        self._avoid.discard(instance)

    def _on_peer(self, instance: str, change: Change, incarnation: str) -> None:
        if change in (Change.SUSPECT, Change.LOST):
            self._add(instance, Reason.SILENT)
            return
        self._lift(instance, Reason.SILENT)
        left = self._left.get(instance)
        if change is Change.RESTARTED and left is not None and left[0] != incarnation:
            self._stays(instance)

    def _on_view(self, view: View) -> None:
        self._view = view
        for instance, (_, before) in list(self._left.items()):
            entry = view.instances.get(instance)
            if entry is not None and entry is not before and entry.state == "live":
                self._stays(instance)

    def _stays(self, instance: str) -> None:
        del self._left[instance]
        self._peers.release(instance, OWNER)
        self._lift(instance, Reason.LEAVING)

    def _add(self, instance: str, reason: Reason) -> None:
        self._reasons[instance].add(reason)
        self._avoid.add(instance)

    def _lift(self, instance: str, reason: Reason) -> None:
        reasons = self._reasons.get(instance)
        if reasons is None:
            return
        reasons.discard(reason)
        if not reasons:
            del self._reasons[instance]
            self._avoid.discard(instance)

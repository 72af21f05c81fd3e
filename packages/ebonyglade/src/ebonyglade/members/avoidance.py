"""The set of agents that get no new work."""

from collections import defaultdict
from enum import Enum

from ebonyglade.config.view import ConfigView
from ebonyglade.context import Context
from ebonyglade.events import Event
from ebonyglade.members.health import PeerChange
from ebonyglade.members.peers import Peers
from ebonyglade.ports import Sender

PIN_OWNER = "leaving"  # owner of the pins set here


class AvoidReason(Enum):
    """Why an agent is avoided."""

    SILENT = "silent"
    LEAVING = "leaving"


class Avoidance:
    """Maintains the set of agents to avoid, each with its reasons.

    An agent that was silent is used again once a message arrives from it. One
    that announced its stop is used again only when a new process runs there or
    its list entry is republished as live; messages from it are not enough.
    """

    def __init__(self, context: Context, peers: Peers, avoid: set[str]) -> None:
        self._peers = peers
        self._avoid = avoid
        self._reasons: dict[str, set[AvoidReason]] = defaultdict(set)
        self._leaving: dict[str, tuple[str, object]] = {}
        self._view = ConfigView()
        context.events.listen(Event.PEER_CHANGED, self._on_peer_changed)
        context.events.listen(Event.VIEW_CHANGED, self._on_view)
        context.events.listen(Event.PEER_FORGOTTEN, self.forget)

    def on_peer_leaving(self, sender: Sender) -> None:
        """Avoid an instance that announced its stop."""
        if sender.instance not in self._leaving:
            entry = self._view.instances.get(sender.instance)
            self._leaving[sender.instance] = (sender.incarnation, entry)
        self._add_reason(sender.instance, AvoidReason.LEAVING)
        # Heartbeats reveal when a new process runs there.
        self._peers.pin(sender.instance, PIN_OWNER, sender.incarnation)

    def forget(self, instance: str) -> None:
        """Delete all state of an instance that left the fleet."""
        self._reasons.pop(instance, None)
        if self._leaving.pop(instance, None) is not None:
            self._peers.unpin(instance, PIN_OWNER)
        self._avoid.discard(instance)

    def _on_peer_changed(
        self, instance: str, change: PeerChange, incarnation: str
    ) -> None:
        if change in (PeerChange.SUSPECT, PeerChange.LOST):
            self._add_reason(instance, AvoidReason.SILENT)
            return
        self._remove_reason(instance, AvoidReason.SILENT)
        leaving_entry = self._leaving.get(instance)
        if (
            change is PeerChange.RESTARTED
            and leaving_entry is not None
            and leaving_entry[0] != incarnation
        ):
            self._end_leaving(instance)

    def _on_view(self, view: ConfigView) -> None:
        self._view = view
        for instance, (_, before) in list(self._leaving.items()):
            entry = view.instances.get(instance)
            if entry is not None and entry is not before and entry.state == "live":
                self._end_leaving(instance)

    def _end_leaving(self, instance: str) -> None:
        del self._leaving[instance]
        self._peers.unpin(instance, PIN_OWNER)
        self._remove_reason(instance, AvoidReason.LEAVING)

    def _add_reason(self, instance: str, reason: AvoidReason) -> None:
        self._reasons[instance].add(reason)
        self._avoid.add(instance)

    def _remove_reason(self, instance: str, reason: AvoidReason) -> None:
        reasons = self._reasons.get(instance)
        if reasons is None:
            return
        reasons.discard(reason)
        if not reasons:
            del self._reasons[instance]
            self._avoid.discard(instance)

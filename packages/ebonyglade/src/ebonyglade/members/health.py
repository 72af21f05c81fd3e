"""Health of peers, judged by what was heard from them."""

from dataclasses import dataclass
from enum import Enum

SUSPECT_AFTER_S = 2.5
LOST_AFTER_S = 6.0


class Health(Enum):
    """State of one peer."""

    LIVE = "live"
    SUSPECT = "suspect"
    LOST = "lost"


class Change(Enum):
    """What became known about a peer."""

    SUSPECT = "suspect"
    LOST = "lost"
    BACK = "back"
    RESTARTED = "restarted"


@dataclass(slots=True)
class _Peer:
    heard: float
    health: Health = Health.LIVE
    incarnation: str = ""


# What silence does to a peer: (state, seconds of silence) -> (state, change).
_AGING = {
    Health.LIVE: (SUSPECT_AFTER_S, Health.SUSPECT, Change.SUSPECT),
    Health.SUSPECT: (LOST_AFTER_S, Health.LOST, Change.LOST),
}


class HealthTable:
    """Tracks when each watched peer was last heard.

    A silent peer is first suspected, which calls for a new connection, and
    only given up when that stays silent too.
    """

    def __init__(self) -> None:
        self._peers: dict[str, _Peer] = {}

    def watch(self, instance: str, now: float) -> None:
        """Start to expect messages from a peer."""
        self._peers.setdefault(instance, _Peer(now))

    def forget(self, instance: str) -> None:
        """Stop to expect messages from a peer."""
        self._peers.pop(instance, None)

    def watched(self) -> list[str]:
        """Return all peers that messages are expected from."""
        return list(self._peers)

    def health(self, instance: str) -> Health | None:
        """Return a peer's state; None if it is not watched."""
        peer = self._peers.get(instance)
        return peer.health if peer else None

    def heard(self, instance: str, incarnation: str, now: float) -> Change | None:
        """Note a message from a peer and return what it changes."""
        peer = self._peers.get(instance)
        if peer is None:
            return None
        previous = peer.incarnation
        was_live = peer.health is Health.LIVE
        peer.heard, peer.health, peer.incarnation = now, Health.LIVE, incarnation
        if previous and previous != incarnation:
            return Change.RESTARTED
        return None if was_live else Change.BACK

    def tick(self, now: float) -> list[tuple[str, Change]]:
        """Age all peers and return what changed."""
        changes = []
        for instance, peer in self._peers.items():
            rule = _AGING.get(peer.health)
            if rule is None or now - peer.heard < rule[0]:
                continue
            peer.health = rule[1]
            changes.append((instance, rule[2]))
        return changes

    def reset(self, now: float) -> None:
        """Give every peer a new chance, after this process was paused."""
        for peer in self._peers.values():
            peer.heard = now

"""Health of peers, judged by what was heard from them.

The numbers: a heartbeat a second, and suspicion after two and a half, so that
one lost heartbeat is forgiven and a silent connection is replaced within four
seconds. A peer is given up after six, when the new connection was silent for
two more heartbeats and a full round trip as well.
"""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

SUSPECT_AFTER_S = 2.5
LOST_AFTER_S = 6.0
PAST_INCARNATIONS = 4


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
    asked: float | None = None
    past: deque[str] = field(default_factory=lambda: deque(maxlen=PAST_INCARNATIONS))


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

    def watch(self, instance: str, now: float, incarnation: str = "") -> None:
        """Start to expect messages from a peer."""
        peer = self._peers.setdefault(instance, _Peer(now))
        peer.incarnation = peer.incarnation or incarnation

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

    def silence(self, instance: str, now: float) -> float:
        """Return the seconds since a watched peer was heard."""
        return now - self._peers[instance].heard

    def asked(self, instance: str, now: float) -> None:
        """Note that a heartbeat was sent to a peer."""
        peer = self._peers.get(instance)
        if peer is not None and peer.asked is None:
            peer.asked = now

    def answered(self, instance: str) -> None:
        """Note that a peer answered a heartbeat."""
        peer = self._peers.get(instance)
        if peer is not None:
            peer.asked = None

    def unheard(self, now: float) -> list[str]:
        """Return the live peers that seem not to get what is sent to them.

        They send messages but answer no heartbeat. Each is returned once.
        """
        found = []
        for instance, peer in self._peers.items():
            if peer.asked is None or now - peer.asked < SUSPECT_AFTER_S:
                continue
            if peer.health is Health.LIVE:
                peer.asked = None
                found.append(instance)
        return found

    def heard(self, instance: str, incarnation: str, now: float) -> Change | None:
        """Note a message from a peer and return what it changes.

        A late message of a process that was replaced says nothing about the
        one that runs now.
        """
        peer = self._peers.get(instance)
        if peer is None or incarnation in peer.past:
            return None
        previous = peer.incarnation
        was_live = peer.health is Health.LIVE
        peer.heard, peer.health, peer.incarnation = now, Health.LIVE, incarnation
        if previous and previous != incarnation:
            peer.past.append(previous)
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
            peer.asked = None

"""Failure detection: health of peers, judged by the messages they send.

Heartbeats are sent once a second. A peer becomes suspect after 2.5 seconds of
silence, so that a single lost heartbeat is tolerated and a silent connection
is replaced within four seconds. It counts as lost after six seconds, when its
new connection was also silent for two more heartbeats and a full round trip.
"""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

SUSPECT_AFTER_S = 2.5
LOST_AFTER_S = 6.0
MAX_PAST_INCARNATIONS = 4


class Health(Enum):
    """State of one peer."""

    LIVE = "live"
    SUSPECT = "suspect"
    LOST = "lost"


class PeerChange(Enum):
    """State change of a peer."""

    SUSPECT = "suspect"
    LOST = "lost"
    BACK = "back"
    RESTARTED = "restarted"


@dataclass(slots=True)
class _Peer:
    last_heard: float
    health: Health = Health.LIVE
    incarnation: str = ""
    ping_sent_at: float | None = None
    past_incarnations: deque[str] = field(
        default_factory=lambda: deque(maxlen=MAX_PAST_INCARNATIONS)
    )


# By state: seconds of silence until the next state, that state, the change.
_SILENCE_RULES = {
    Health.LIVE: (SUSPECT_AFTER_S, Health.SUSPECT, PeerChange.SUSPECT),
    Health.SUSPECT: (LOST_AFTER_S, Health.LOST, PeerChange.LOST),
}


class HealthTable:
    """Tracks when the last message came from each monitored peer.

    A silent peer first becomes suspect, upon which the caller opens a new
    connection. It counts as lost only if that connection stays silent too.
    """

    def __init__(self) -> None:
        self._peers: dict[str, _Peer] = {}

    def watch(self, instance: str, now: float, incarnation: str = "") -> None:
        """Start monitoring a peer."""
        peer = self._peers.setdefault(instance, _Peer(now))
        peer.incarnation = peer.incarnation or incarnation

    def forget(self, instance: str) -> None:
        """Stop monitoring a peer."""
        self._peers.pop(instance, None)

    def watched(self) -> list[str]:
        """Return all monitored peers."""
        return list(self._peers)

    def health(self, instance: str) -> Health | None:
        """Return a peer's state; None if it is not monitored."""
        peer = self._peers.get(instance)
        return peer.health if peer else None

    def silence(self, instance: str, now: float) -> float:
        """Return the seconds since the last message from a monitored peer."""
        return now - self._peers[instance].last_heard

    def ping_sent(self, instance: str, now: float) -> None:
        """Record that a heartbeat was sent to a peer."""
        peer = self._peers.get(instance)
        if peer is not None and peer.ping_sent_at is None:
            peer.ping_sent_at = now

    def pong_received(self, instance: str) -> None:
        """Record that a peer answered a heartbeat."""
        peer = self._peers.get(instance)
        if peer is not None:
            peer.ping_sent_at = None

    def unresponsive(self, now: float) -> list[str]:
        """Return the live peers that apparently receive no messages from here.

        Such a peer sends messages but does not answer heartbeats. It is returned
        once for each unanswered heartbeat.
        """
        found = []
        for instance, peer in self._peers.items():
            if peer.ping_sent_at is None or now - peer.ping_sent_at < SUSPECT_AFTER_S:
                continue
            if peer.health is Health.LIVE:
                peer.ping_sent_at = None
                found.append(instance)
        return found

    def record_message(
        self, instance: str, incarnation: str, now: float
    ) -> PeerChange | None:
        """Record a message from a peer and return the resulting change, if any.

        A late message from a previous incarnation is ignored, as it says nothing
        about the process that runs now.
        """
        peer = self._peers.get(instance)
        if peer is None or incarnation in peer.past_incarnations:
            return None
        previous = peer.incarnation
        was_live = peer.health is Health.LIVE
        peer.last_heard, peer.health, peer.incarnation = now, Health.LIVE, incarnation
        if previous and previous != incarnation:
            peer.past_incarnations.append(previous)
            return PeerChange.RESTARTED
        return None if was_live else PeerChange.BACK

    def tick(self, now: float) -> list[tuple[str, PeerChange]]:
        """Apply the silence timeouts to all peers and return the changes."""
        changes = []
        for instance, peer in self._peers.items():
            rule = _SILENCE_RULES.get(peer.health)
            if rule is None or now - peer.last_heard < rule[0]:
                continue
            peer.health = rule[1]
            changes.append((instance, rule[2]))
        return changes

    def reset(self, now: float) -> None:
        """Restart all timeouts, since no message was handled while paused."""
        for peer in self._peers.values():
            peer.last_heard = now
            peer.ping_sent_at = None

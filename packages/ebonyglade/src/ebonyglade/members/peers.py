"""Heartbeats with the peers that this instance talks to."""

from ebonyglade.context import Context
from ebonyglade.events import Event
from ebonyglade.members.health import Change, HealthTable
from ebonyglade.ports import Sender
from ebonyglade.wire.control import Ping, Pong

HEARTBEAT_S = 1.0


class Peers:
    """Sends heartbeats, judges silence and tells of changes.

    A silent peer gets a new connection first, since the old one may have gone
    silent for good while new ones work.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._health = HealthTable()
        self._seq = 0
        self.revision = lambda: 0
        self.on_revision = lambda instance, revision: None
        context.handle({Ping: self._on_ping, Pong: self._on_pong})
        context.every(HEARTBEAT_S, self.tick)
        context.events.listen(Event.PAUSED, self._on_paused)

    @property
    def health(self) -> HealthTable:
        """Health of the watched peers."""
        return self._health

    def watch(self, instance: str) -> None:
        """Expect messages from a peer from now on."""
        self._health.watch(instance, self._context.clock())

    def heard(self, sender: Sender) -> None:
        """Note that a message came from a peer, before it is handled."""
        self._context.transport.learn(sender.instance, sender.address)
        change = self._health.heard(
            sender.instance, sender.incarnation, self._context.clock()
        )
        if change is not None:
            self._tell(sender.instance, change, sender.incarnation)

    def tick(self, now: float) -> None:
        """Judge silence and send the next heartbeats."""
        self._seq += 1
        for instance, change in self._health.tick(now):
            if change is Change.SUSPECT:
                self._context.transport.reconnect(instance)
            self._tell(instance, change, "")
        for instance in self._health.watched():
            self._context.send(instance, Ping(self._seq, self.revision()))

    def _on_ping(self, sender: Sender, message: Ping) -> None:
        self._context.send(sender.instance, Pong(message.seq, self.revision()))
        self.on_revision(sender.instance, message.revision)

    def _on_pong(self, sender: Sender, message: Pong) -> None:
        self.on_revision(sender.instance, message.revision)

    def _on_paused(self, seconds: float) -> None:
        self._health.reset(self._context.clock())

    def _tell(self, instance: str, change: Change, incarnation: str) -> None:
        self._context.count(f"peers_{change.value}")
        self._context.events.send(Event.PEER_CHANGED, instance, change, incarnation)

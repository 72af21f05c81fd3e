"""Heartbeats with the peers that this instance currently uses."""

from collections import defaultdict

from ebonyglade.config.view import ConfigView
from ebonyglade.context import Context
from ebonyglade.events import Event
from ebonyglade.members.addresses import Addresses
from ebonyglade.members.health import Health, HealthTable, PeerChange
from ebonyglade.ports import Sender
from ebonyglade.wire.control import Ping, Pong

HEARTBEAT_S = 1.0
LOST_PEER_PING_ROUNDS = 5  # rounds between heartbeats to a lost peer
BUSY_PEER_PING_ROUNDS = 2  # rounds between heartbeats to a peer that sends messages
UNUSED_PEER_TIMEOUT_S = 5.0  # after its last use a healthy peer gets no more heartbeats
RECENT_SENDER_S = 60.0  # how long the sender of a message counts as recent
MIN_RECONNECT_INTERVAL_S = 2.0  # for a peer that reports receiving nothing


class Peers:
    """Sends heartbeats, detects silent peers and reports state changes.

    A silent peer first gets a new connection, since a connection can stop
    delivering for good while new ones still work. Each direction has its own
    connection, so a heartbeat also tells the peer if nothing arrives from it.

    A peer is monitored while it is pinned or was used within
    `UNUSED_PEER_TIMEOUT_S` seconds. A suspect or lost peer is monitored for as long
    as it is listed, so that its return is noticed. Peers that send other messages
    get fewer heartbeats.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._health = HealthTable()
        self._addresses = Addresses(context.transport)
        self._seq = 0
        self._pin_owners: dict[str, set[str]] = defaultdict(set)
        self._last_used: dict[str, float] = {}
        self._last_message_at: dict[str, float] = {}
        self._reconnected_at: dict[str, float] = {}
        self._listed: dict | None = None
        self.known_revision = lambda: 0
        self.on_revision = lambda instance, revision: None
        self.should_follow = lambda instance: False
        self.on_follow = lambda instance: None
        self.on_pong = lambda instance, message: None
        self.is_stale = lambda: False
        context.handle({Ping: self._on_ping, Pong: self._on_pong})
        context.every(HEARTBEAT_S, self.tick)
        context.events.listen(Event.PAUSED, self._on_paused)
        context.events.listen(Event.VIEW_CHANGED, self._on_view)

    @property
    def health(self) -> HealthTable:
        """Health of the monitored peers."""
        return self._health

    @property
    def seq(self) -> int:
        """Sequence number of the latest round of heartbeats."""
        return self._seq

    def mark_used(self, instance: str, incarnation: str = "") -> None:
        """Record the use of a peer and monitor it for a time after it.

        The time is `UNUSED_PEER_TIMEOUT_S` seconds.

        Args:
            instance: the peer.
            incarnation: process that runs there, if it is known.
        """
        now = self._context.clock()
        self._last_used[instance] = now
        self._health.watch(instance, now, incarnation)

    def pin(self, instance: str, owner: str, incarnation: str = "") -> None:
        """Monitor a peer until the owner calls `unpin`.

        Args:
            instance: the peer.
            owner: component that needs the peer.
            incarnation: process that runs there, if it is known.
        """
        self._pin_owners[instance].add(owner)
        self._health.watch(instance, self._context.clock(), incarnation)
        self._ping(instance)

    def unpin(self, instance: str, owner: str) -> None:
        """Undo `pin`; a suspect or lost peer that is listed stays monitored."""
        self._pin_owners[instance].discard(owner)
        if not self._pin_owners[instance]:
            del self._pin_owners[instance]

    def recent_senders(self) -> list[str]:
        """Return the instances that sent a message within `RECENT_SENDER_S` seconds."""
        return list(self._last_message_at)

    def on_message_received(self, sender: Sender) -> None:
        """Record an incoming message; called before its handler."""
        self._context.pauses.check()
        now = self._context.clock()
        self._last_message_at[sender.instance] = now
        change = self._health.record_message(sender.instance, sender.incarnation, now)
        self._addresses.set_announced(
            sender.instance, sender.incarnation, sender.address
        )
        if change is not None:
            self._report_change(sender.instance, change, sender.incarnation)

    def tick(self, now: float) -> None:
        """Apply the silence timeouts and send the next round of heartbeats."""
        self._seq += 1
        for instance, change in self._health.tick(now):
            if change is PeerChange.SUSPECT:
                self._context.transport.reconnect(instance)
            self._report_change(instance, change, "")
        for instance in self._health.unresponsive(now):
            self._context.transport.reconnect(instance)
        self._forget_unused(now)
        for instance in self._health.watched():
            if self._ping_due(instance, now):
                self._ping(instance)

    def _ping_due(self, instance: str, now: float) -> bool:
        if self._health.health(instance) is Health.LOST:
            # Many peers may be lost at once, so they are spread over the rounds.
            return (
                self._seq % LOST_PEER_PING_ROUNDS
                == round_offset(instance) % LOST_PEER_PING_ROUNDS
            )
        if instance in self._pin_owners:
            return True
        silent = self._health.silence(instance, now) >= HEARTBEAT_S / 2
        return silent or self._seq % BUSY_PEER_PING_ROUNDS == 0

    def _ping(self, instance: str) -> None:
        unheard = self._health.health(instance) in (Health.SUSPECT, Health.LOST)
        follow = self.should_follow(instance)
        self._health.ping_sent(instance, self._context.clock())
        self._context.send(
            instance, Ping(self._seq, self.known_revision(), follow, unheard)
        )

    def _forget_unused(self, now: float) -> None:
        for instance in self._health.watched():
            live = self._health.health(instance) is Health.LIVE
            used = (
                now - self._last_used.get(instance, now - UNUSED_PEER_TIMEOUT_S)
                < UNUSED_PEER_TIMEOUT_S
            )
            if (
                instance in self._pin_owners
                or used
                or (not live and self._is_listed(instance))
            ):
                continue
            self._health.forget(instance)
            self._last_used.pop(instance, None)
        old = now - RECENT_SENDER_S
        for instance in [
            name for name, at in self._last_message_at.items() if at < old
        ]:
            del self._last_message_at[instance]
            self._reconnected_at.pop(instance, None)
            if not self._is_listed(instance) and instance not in self._pin_owners:
                self._forget(instance)

    def _is_listed(self, instance: str) -> bool:
        return bool(self._listed) and instance in self._listed

    def _on_view(self, view: ConfigView) -> None:
        if view.instances is self._listed:
            return
        before, self._listed = self._listed or {}, view.instances
        for name, instance in view.instances.items():
            if before.get(name) is not instance:
                self._addresses.set_listed(name, instance.address)
        for name in sorted(before.keys() - view.instances.keys()):
            self._forget(name)

    def _forget(self, instance: str) -> None:
        self._health.forget(instance)
        self._last_used.pop(instance, None)
        self._last_message_at.pop(instance, None)
        self._reconnected_at.pop(instance, None)
        self._addresses.forget(instance)
        self._context.transport.remove_peer(instance)
        self._context.events.send(Event.PEER_FORGOTTEN, instance)

    def _on_ping(self, sender: Sender, message: Ping) -> None:
        if message.deaf:
            self._reconnect(sender.instance)
        if message.follow:
            self.on_follow(sender.instance)
        pong = Pong(message.seq, self.known_revision(), self.is_stale())
        self._context.send(sender.instance, pong)
        self.on_revision(sender.instance, message.revision)

    def _reconnect(self, instance: str) -> None:
        """Open a new connection to a peer that reports receiving nothing."""
        now = self._context.clock()
        if (
            now - self._reconnected_at.get(instance, now - MIN_RECONNECT_INTERVAL_S)
            >= MIN_RECONNECT_INTERVAL_S
        ):
            self._reconnected_at[instance] = now
            self._context.count("peers_deaf")
            self._context.transport.reconnect(instance)

    def _on_pong(self, sender: Sender, message: Pong) -> None:
        self._health.pong_received(sender.instance)
        self.on_revision(sender.instance, message.revision)
        self.on_pong(sender.instance, message)

    def _on_paused(self, seconds: float) -> None:
        self._health.reset(self._context.clock())

    def _report_change(
        self, instance: str, change: PeerChange, incarnation: str
    ) -> None:
        self._context.count(f"peers_{change.value}")
        self._context.events.send(Event.PEER_CHANGED, instance, change, incarnation)


def round_offset(instance: str) -> int:
    """Return a number by which instances are spread over heartbeat rounds."""
    return sum(instance.encode())

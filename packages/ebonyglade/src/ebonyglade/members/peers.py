"""Heartbeats with the peers that this instance needs, and no others."""

from collections import defaultdict

from ebonyglade.config.view import View
from ebonyglade.context import Context
from ebonyglade.events import Event
from ebonyglade.members.addresses import Addresses
from ebonyglade.members.health import Change, Health, HealthTable
from ebonyglade.ports import Sender
from ebonyglade.wire.control import Ping, Pong

HEARTBEAT_S = 1.0
PROBE_ROUNDS = 5  # rounds between heartbeats to a peer that was given up
FLOWING_ROUNDS = 2  # rounds between heartbeats where messages flow
IDLE_S = 5.0  # after its last use a healthy peer gets no more heartbeats
RECENT_S = 60.0  # for which it is remembered who sent messages
RECONNECT_S = 2.0  # shortest time between two new connections to a deaf peer


class Peers:
    """Sends heartbeats, judges silence and tells of changes.

    A silent peer gets a new connection first, since the old one may have gone
    silent for good while new ones work. Each direction has a connection of its
    own, so a heartbeat also tells the peer that nothing is heard from it.

    A peer is watched while it is held, or used in the last `IDLE_S` seconds. A
    suspect one stays watched, so that it is known when it is back, for as long
    as it is listed. Where messages flow, heartbeats are fewer.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._health = HealthTable()
        self._addresses = Addresses(context.transport)
        self._seq = 0
        self._held: dict[str, set[str]] = defaultdict(set)
        self._used: dict[str, float] = {}
        self._recent: dict[str, float] = {}
        self._renewed: dict[str, float] = {}
        self._listed: dict | None = None
        self.revision = lambda: 0
        self.on_revision = lambda instance, revision: None
        self.follows = lambda instance: False
        self.on_follow = lambda instance: None
        self.on_pong = lambda instance, message: None
        self.stale = lambda: False
        context.handle({Ping: self._on_ping, Pong: self._on_pong})
        context.every(HEARTBEAT_S, self.tick)
        context.events.listen(Event.PAUSED, self._on_paused)
        context.events.listen(Event.VIEW_CHANGED, self._on_view)

    @property
    def health(self) -> HealthTable:
        """Health of the watched peers."""
        return self._health

    @property
    def seq(self) -> int:
        """Number of the newest round of heartbeats."""
        return self._seq

    def watch(self, instance: str, incarnation: str = "") -> None:
        """Expect messages from a peer while it is used.

        Args:
            instance: the peer.
            incarnation: process that runs there, if it is known.
        """
        now = self._context.clock()
        self._used[instance] = now
        self._health.watch(instance, now, incarnation)

    def hold(self, instance: str, owner: str, incarnation: str = "") -> None:
        """Expect messages from a peer until `release`.

        Args:
            instance: the peer.
            owner: part of the program that needs the peer.
            incarnation: process that runs there, if it is known.
        """
        self._held[instance].add(owner)
        self._health.watch(instance, self._context.clock(), incarnation)
        self._ping(instance)

    def release(self, instance: str, owner: str) -> None:
        """End `hold`; a suspect peer stays watched until it is back."""
        self._held[instance].discard(owner)
        if not self._held[instance]:
            del self._held[instance]

    def recent(self) -> list[str]:
        """Return who sent a message in the last `RECENT_S` seconds."""
        return list(self._recent)

    def heard(self, sender: Sender) -> None:
        """Note that a message came from a peer, before it is handled."""
        self._context.pauses.check()
        now = self._context.clock()
        self._recent[sender.instance] = now
        change = self._health.heard(sender.instance, sender.incarnation, now)
        self._addresses.direct(sender.instance, sender.incarnation, sender.address)
        if change is not None:
            self._tell(sender.instance, change, sender.incarnation)

    def tick(self, now: float) -> None:
        """Judge silence and send the next heartbeats."""
        self._seq += 1
        for instance, change in self._health.tick(now):
            if change is Change.SUSPECT:
                self._context.transport.reconnect(instance)
            self._tell(instance, change, "")
        for instance in self._health.unheard(now):
            self._context.transport.reconnect(instance)
        self._forget_idle(now)
        for instance in self._health.watched():
            if self._due(instance, now):
                self._ping(instance)

    def _due(self, instance: str, now: float) -> bool:
        if self._health.health(instance) is Health.LOST:
            # Many may be lost at once; each gets its turn in another round.
            return self._seq % PROBE_ROUNDS == hash_of(instance) % PROBE_ROUNDS
        if instance in self._held:
            return True
        silent = self._health.silence(instance, now) >= HEARTBEAT_S / 2
        return silent or self._seq % FLOWING_ROUNDS == 0

    def _ping(self, instance: str) -> None:
        deaf = self._health.health(instance) in (Health.SUSPECT, Health.LOST)
        follow = self.follows(instance)
        self._health.asked(instance, self._context.clock())
        self._context.send(instance, Ping(self._seq, self.revision(), follow, deaf))

    def _forget_idle(self, now: float) -> None:
        for instance in self._health.watched():
            live = self._health.health(instance) is Health.LIVE
            used = now - self._used.get(instance, now - IDLE_S) < IDLE_S
            if (
                instance in self._held
                or used
                or (not live and self._is_listed(instance))
            ):
                continue
            self._health.forget(instance)
            self._used.pop(instance, None)
        old = now - RECENT_S
        for instance in [name for name, at in self._recent.items() if at < old]:
            del self._recent[instance]
            self._renewed.pop(instance, None)
            if not self._is_listed(instance) and instance not in self._held:
                self._forget(instance)

    def _is_listed(self, instance: str) -> bool:
        return bool(self._listed) and instance in self._listed

    def _on_view(self, view: View) -> None:
        if view.instances is self._listed:
            return
        before, self._listed = self._listed or {}, view.instances
        for name, instance in view.instances.items():
            if before.get(name) is not instance:
                self._addresses.listed(name, instance.address)
        for name in sorted(before.keys() - view.instances.keys()):
            self._forget(name)

    def _forget(self, instance: str) -> None:
        self._health.forget(instance)
        self._used.pop(instance, None)
        self._recent.pop(instance, None)
        self._renewed.pop(instance, None)
        self._addresses.forget(instance)
        self._context.transport.forget(instance)
        self._context.events.send(Event.PEER_FORGOTTEN, instance)

    def _on_ping(self, sender: Sender, message: Ping) -> None:
        if message.deaf:
            self._renew(sender.instance)
        if message.follow:
            self.on_follow(sender.instance)
        pong = Pong(message.seq, self.revision(), self.stale())
        self._context.send(sender.instance, pong)
        self.on_revision(sender.instance, message.revision)

    def _renew(self, instance: str) -> None:
        """Open a new connection to a peer that hears nothing."""
        now = self._context.clock()
        if now - self._renewed.get(instance, now - RECONNECT_S) >= RECONNECT_S:
            self._renewed[instance] = now
            self._context.count("peers_deaf")
            self._context.transport.reconnect(instance)

    def _on_pong(self, sender: Sender, message: Pong) -> None:
        self._health.answered(sender.instance)
        self.on_revision(sender.instance, message.revision)
        self.on_pong(sender.instance, message)

    def _on_paused(self, seconds: float) -> None:
        self._health.reset(self._context.clock())

    def _tell(self, instance: str, change: Change, incarnation: str) -> None:
        self._context.count(f"peers_{change.value}")
        self._context.events.send(Event.PEER_CHANGED, instance, change, incarnation)


def hash_of(instance: str) -> int:
    """Return a small number that spreads instances over rounds."""
    return sum(instance.encode())

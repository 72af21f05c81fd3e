"""Relaying of configuration changes between instances."""

from ebonyglade.config.controller import ConfigController
from ebonyglade.config.view import ConfigView
from ebonyglade.context import Context
from ebonyglade.events import Event
from ebonyglade.members import topology
from ebonyglade.members.health import PeerChange
from ebonyglade.members.peers import Peers
from ebonyglade.ports import Sender
from ebonyglade.wire.control import Leaving, RevisionNotice

PIN_OWNER = "relay"  # owner of the pins set here
FOLLOWER_TIMEOUT_S = 3.5  # a follower that was silent for this long is dropped
MAX_FOLLOWERS = 64
PARENT_TIMEOUT_S = 2.2  # silence of all parents before the platform is read
LAST_VALID_RETRY_S = 10.0  # between requests to one parent for last valid values
LEAVING_EXCLUSION_S = (
    30.0  # how long an instance that announced its stop is not followed
)
READ_TURN_S = 0.25  # delay between consecutive readers of one revision
READ_TURNS = 5  # readers with a turn of their own; all others wait for all turns
READ_JITTER_S = 0.5  # longest random part of the others' delay


class Relay:
    """Tracks parents and followers, and decides when to read the platform.

    This instance reads the platform while it knows no list of instances, while
    it is one of its availability zone's readers, and while all parents are
    silent.
    """

    def __init__(
        self, context: Context, peers: Peers, config: ConfigController
    ) -> None:
        self._context = context
        self._peers = peers
        self._config = config
        self._orders: topology.ZoneOrders = {}
        self._instances: dict | None = None
        self._role = topology.RelayRole(True)
        self._down: set[str] = set()
        self._excluded_until: dict[str, float] = {}
        self._followers: dict[str, float] = {}
        self._parent_heard_at = context.clock()
        self._announced_revision = 0
        self._last_valid_requests: dict[str, tuple[tuple, float]] = {}
        self.seeds: tuple[str, ...] = ()
        peers.known_revision = lambda: config.store.revision
        peers.on_revision = self._on_revision
        peers.should_follow = lambda instance: instance in self._role.parents
        peers.on_follow = self._on_follow
        context.handle({RevisionNotice: self._on_news})
        context.events.listen(Event.VIEW_CHANGED, self._on_view)
        context.events.listen(Event.PEER_CHANGED, self._on_peer_changed)
        context.events.listen(Event.DRAINING, self._on_draining)
        context.every(LEAVING_EXCLUSION_S / 3, self._end_exclusions)

    @property
    def parents(self) -> tuple[str, ...]:
        """Instances that this one follows."""
        return self._role.parents

    @property
    def followers(self) -> list[str]:
        """Instances that currently follow this one."""
        oldest = self._context.clock() - FOLLOWER_TIMEOUT_S
        return [name for name, heard in self._followers.items() if heard > oldest]

    @property
    def reads_platform(self) -> bool:
        """Whether this instance currently reads the platform."""
        return self._role.is_reader or self._parents_silent()

    def start(self, seeds: tuple[str, ...] = ()) -> None:
        """Follow the seed instances from the settings until a list is known."""
        self.seeds = seeds
        if not self._config.view.instances:
            self._apply_role(topology.RelayRole(True, seeds))
        self._peers.tick(self._context.clock())

    def read_delay(self, revision: int) -> float:
        """Return how many seconds to wait before reading a new revision.

        One reader of the fleet reads each revision immediately and relays it. The
        others read it after staggered delays, and only if it has not arrived.
        """
        if self._config.store.revision == 0:
            return 0.0
        me = self._context.identity.instance
        rank = topology.read_rank(me, revision, self._orders, self._down)
        if self._role.is_reader and rank < READ_TURNS:
            return rank * READ_TURN_S
        jitter_s = self._context.rng.random() * READ_JITTER_S
        return READ_TURNS * READ_TURN_S + jitter_s

    def _parents_silent(self) -> bool:
        return self._context.clock() - self._parent_heard_at > PARENT_TIMEOUT_S

    def _on_revision(self, instance: str, revision: int) -> None:
        if instance in self._role.parents:
            self._parent_heard_at = self._context.clock()
            self._request_last_valid(instance)
        self._config.on_remote_revision(instance, revision)

    def _request_last_valid(self, parent: str) -> None:
        """Request the last valid values of paths whose newest value is invalid."""
        invalid = tuple(self._config.store.invalid())
        now = self._context.clock()
        known, at = self._last_valid_requests.get(parent, ((), 0.0))
        if invalid == known and (not invalid or now - at < LAST_VALID_RETRY_S):
            return
        self._last_valid_requests[parent] = (invalid, now)
        if invalid:
            self._config.request_changes(parent)

    def _on_news(self, sender: Sender, message: RevisionNotice) -> None:
        self._config.on_remote_revision(sender.instance, message.revision)

    def _on_follow(self, instance: str) -> None:
        if instance in self._followers or len(self._followers) < MAX_FOLLOWERS:
            self._followers[instance] = self._context.clock()
            return
        self._followers = {name: self._followers[name] for name in self.followers}

    def _on_view(self, view: ConfigView) -> None:
        if view.instances is not self._instances:
            self._instances = view.instances
            self._orders = topology.order_by_zone(view.instances)
            self._down &= view.instances.keys()
            self._update_role()
        self._announce_revision()

    def _on_peer_changed(
        self, instance: str, change: PeerChange, incarnation: str
    ) -> None:
        if change in (PeerChange.SUSPECT, PeerChange.LOST):
            self._followers.pop(instance, None)
            self._mark_down(instance)
        elif instance in self._down:
            self._down.discard(instance)
            self._update_role()

    def on_peer_leaving(self, instance: str) -> None:
        """Exclude an instance that announced its stop, for `LEAVING_EXCLUSION_S`."""
        self._excluded_until[instance] = self._context.clock() + LEAVING_EXCLUSION_S
        self._mark_down(instance)

    def _end_exclusions(self, now: float) -> None:
        """End expired exclusions, as those instances were probably restarted.

        No message announces a restart. An instance that did not come back is
        detected by its silence.
        """
        expired = [name for name, until in self._excluded_until.items() if until <= now]
        for name in expired:
            del self._excluded_until[name]
            self._down.discard(name)
        if expired:
            self._update_role()

    def _mark_down(self, instance: str) -> None:
        if instance in self._down:
            return
        self._down.add(instance)
        if instance in self._role.parents:
            self._update_role()

    def _update_role(self) -> None:
        if not self._instances:
            return
        identity = self._context.identity
        listed = self._instances.get(identity.instance)
        zone = listed.zone if listed is not None else identity.zone
        self._apply_role(
            topology.assign_role(identity.instance, zone, self._orders, self._down)
        )

    def _apply_role(self, role: topology.RelayRole) -> None:
        before, self._role = self._role, role
        for name in sorted(set(before.parents) - set(role.parents)):
            self._peers.unpin(name, PIN_OWNER)
            self._last_valid_requests.pop(name, None)
        added = [name for name in role.parents if name not in before.parents]
        for name in added:
            self._peers.pin(name, PIN_OWNER)
        if not before.parents:
            self._parent_heard_at = self._context.clock()

    def _announce_revision(self) -> None:
        revision = self._config.store.revision
        if revision <= self._announced_revision:
            return
        self._announced_revision = revision
        for name in self.followers:
            self._context.send(name, RevisionNotice(revision))

    def _on_draining(self) -> None:
        for name in sorted({*self.followers, *self._peers.recent_senders()}):
            self._context.send(name, Leaving())

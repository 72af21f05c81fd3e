"""This instance's part in handing configuration on."""

from ebonyglade.config.controller import ConfigController
from ebonyglade.config.view import View
from ebonyglade.context import Context
from ebonyglade.events import Event
from ebonyglade.members import topology
from ebonyglade.members.health import Change
from ebonyglade.members.peers import Peers
from ebonyglade.ports import Sender
from ebonyglade.wire.control import ConfigNews, Leaving

OWNER = "relay"  # of the peers that are held
FOLLOW_TERM_S = 3.5  # a follower that was not heard for so long is dropped
MAX_FOLLOWERS = 64
ORPHAN_AFTER_S = 2.2  # silence of all parents after which the platform is read
ASK_GOOD_AGAIN_S = 10.0  # between two asks of one parent for last valid values
LEFT_S = 30.0  # for which an instance that announced its stop is passed over
READ_STEP_S = 0.25  # between the turns of readers for one revision
READ_TURNS = 5
READ_SPREAD_S = 0.5


class Relay:
    """Follows parents, is followed by others, and says when to read.

    The platform is read here while no list is known, while this instance is
    one of its availability zone's readers, and while no parent is heard.
    """

    def __init__(
        self, context: Context, peers: Peers, config: ConfigController
    ) -> None:
        self._context = context
        self._peers = peers
        self._config = config
        self._orders: topology.Orders = {}
        self._instances: dict | None = None
        self._place = topology.Place(True)
        self._down: set[str] = set()
        self._left: dict[str, float] = {}
        self._followers: dict[str, float] = {}
        self._heard_parent = context.clock()
        self._told = 0
        self._asked_good: dict[str, tuple[tuple, float]] = {}
        self.seeds: tuple[str, ...] = ()
        peers.revision = lambda: config.store.revision
        peers.on_revision = self._on_revision
        peers.follows = lambda instance: instance in self._place.parents
        peers.on_follow = self._on_follow
        context.handle({ConfigNews: self._on_news})
        context.events.listen(Event.VIEW_CHANGED, self._on_view)
        context.events.listen(Event.PEER_CHANGED, self._on_peer)
        context.events.listen(Event.DRAINING, self._on_draining)
        context.every(LEFT_S / 3, self._follow_again)

    @property
    def parents(self) -> tuple[str, ...]:
        """Instances that this one follows."""
        return self._place.parents

    @property
    def followers(self) -> list[str]:
        """Instances that follow this one now."""
        oldest = self._context.clock() - FOLLOW_TERM_S
        return [name for name, heard in self._followers.items() if heard > oldest]

    @property
    def reads(self) -> bool:
        """Whether this instance reads the platform now."""
        return self._place.reads or self._orphaned()

    def start(self, seeds: tuple[str, ...] = ()) -> None:
        """Follow neighbours from the settings until a list is known."""
        self.seeds = seeds
        if not self._config.view.instances:
            self._settle(topology.Place(True, seeds))
        self._peers.tick(self._context.clock())

    def read_delay(self, revision: int) -> float:
        """Return the seconds to wait for others before reading a new revision.

        One reader of the fleet reads each revision at once and hands it on; the
        others take their turns only while it has not come.
        """
        if self._config.store.revision == 0:
            return 0.0
        me = self._context.me.instance
        rank = topology.read_rank(me, revision, self._orders, self._down)
        if self._place.reads and rank < READ_TURNS:
            return rank * READ_STEP_S
        spread = self._context.rng.random() * READ_SPREAD_S
        return READ_TURNS * READ_STEP_S + spread

    def _orphaned(self) -> bool:
        return self._context.clock() - self._heard_parent > ORPHAN_AFTER_S

    def _on_revision(self, instance: str, revision: int) -> None:
        if instance in self._place.parents:
            self._heard_parent = self._context.clock()
            self._ask_for_good(instance)
        self._config.heard_revision(instance, revision)

    def _ask_for_good(self, parent: str) -> None:
        """Ask for last valid values of paths whose newest value is invalid."""
        invalid = tuple(self._config.store.invalid())
        now = self._context.clock()
        known, at = self._asked_good.get(parent, ((), 0.0))
        if invalid == known and (not invalid or now - at < ASK_GOOD_AGAIN_S):
            return
        self._asked_good[parent] = (invalid, now)
        if invalid:
            self._config.ask(parent)

    def _on_news(self, sender: Sender, message: ConfigNews) -> None:
        self._config.heard_revision(sender.instance, message.revision)

    def _on_follow(self, instance: str) -> None:
        if instance in self._followers or len(self._followers) < MAX_FOLLOWERS:
            self._followers[instance] = self._context.clock()
            return
        self._followers = {name: self._followers[name] for name in self.followers}

    def _on_view(self, view: View) -> None:
        if view.instances is not self._instances:
            self._instances = view.instances
            self._orders = topology.orders(view.instances)
            self._down &= view.instances.keys()
            self._find_place()
        self._tell()

    def _on_peer(self, instance: str, change: Change, incarnation: str) -> None:
        if change in (Change.SUSPECT, Change.LOST):
            self._followers.pop(instance, None)
            self._mark_down(instance)
        elif instance in self._down:
            self._down.discard(instance)
            self._find_place()

    def leaving(self, instance: str) -> None:
        """Follow somebody else, for a while, than an instance that stops."""
        self._left[instance] = self._context.clock() + LEFT_S
        self._mark_down(instance)

    def _follow_again(self, now: float) -> None:
        """Count those in again that stopped and were probably replaced.

        Nobody tells when they are back; one that is not is noticed by silence.
        """
        over = [name for name, until in self._left.items() if until <= now]
        for name in over:
            del self._left[name]
            self._down.discard(name)
        if over:
            self._find_place()

    def _mark_down(self, instance: str) -> None:
        if instance in self._down:
            return
        self._down.add(instance)
        if instance in self._place.parents:
            self._find_place()

    def _find_place(self) -> None:
        if not self._instances:
            return
        me = self._context.me
        listed = self._instances.get(me.instance)
        zone = listed.zone if listed is not None else me.zone
        self._settle(topology.place(me.instance, zone, self._orders, self._down))

    def _settle(self, place: topology.Place) -> None:
        before, self._place = self._place, place
        for name in sorted(set(before.parents) - set(place.parents)):
            self._peers.release(name, OWNER)
            self._asked_good.pop(name, None)
        fresh = [name for name in place.parents if name not in before.parents]
        for name in fresh:
            self._peers.hold(name, OWNER)
        if not before.parents:
            self._heard_parent = self._context.clock()

    def _tell(self) -> None:
        revision = self._config.store.revision
        if revision <= self._told:
            return
        self._told = revision
        for name in self.followers:
            self._context.send(name, ConfigNews(revision))

    def _on_draining(self) -> None:
        for name in sorted({*self.followers, *self._peers.recent()}):
            self._context.send(name, Leaving())

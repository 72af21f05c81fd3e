"""Membership of a fleet that finds itself from a few seeds.

Every member sends a beat to every other one it knows. A beat tells whom the
sender knows, so one seed that answers is enough; seeds may be stale or down.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from ebonyglade.context import Context
from ebonyglade.ports import Sender
from ebonyglade.wire.base import Message
from ebonyglade.wire.fleet import Beat, Farewell, KnownMember

logger = logging.getLogger(__name__)

BEAT_S = 0.2  # between two beats in a small fleet
# Entries that are told at once of what a beat would tell later; beyond, it would cost
# more than it helps.
MOST_TOLD = 40
BEATS_PER_S = 100.0  # most beats a second that one member sends
LIVE_S = 1.5  # silence after which a member gets no traffic
RECONNECT_S = 2.0  # silence after which its connection is opened anew
FORGET_S = 30.0  # silence after which a member counts as gone for good
HEARSAY_S = 5.0  # a member that others heard within this time is greeted


@dataclass(slots=True)
class Member:
    """Another process of the fleet.

    Attributes:
        address: where it takes messages.
        incarnation: new at each of its starts; "" before it was heard.
        entry: whether it takes callers' requests.
        zone: its availability zone.
        heard: when it was last heard; negative infinity if never.
        known: when it was last heard of.
        echo: its newest clock reading, for it to get back.
        reconnected: when its connection was last opened anew.
    """

    address: str
    incarnation: str = ""
    entry: bool = False
    zone: str = ""
    heard: float = float("-inf")
    known: float = 0.0
    echo: float = -1.0
    reconnected: float = 0.0


Compose = Callable[[], Beat]
Heard = Callable[[Member, Beat], None]


@dataclass(slots=True)
class Members:
    """Who else is there.

    Attributes:
        context: transport, clock and timers.
        seeds: addresses to greet at the start; kept for ever.
        compose: returns the beat to send, without its echo.
        on_beat: called with each member's beat.
        on_gone: called when a member said farewell or was restarted.
    """

    context: Context
    seeds: tuple[str, ...]
    compose: Compose
    on_beat: list[Heard] = field(default_factory=list)
    on_gone: list[Callable[[Member], None]] = field(default_factory=list)
    _members: dict[str, Member] = field(default_factory=dict)
    _next_beat: float = 0.0

    def start(self) -> None:
        """Greet the seeds and go on sending beats."""
        self.context.handle({Beat: self._on_beat, Farewell: self._on_farewell})
        self.greet(self.seeds)
        self.context.every(BEAT_S, self.tick)
        self.tick(self.context.clock())

    def greet(self, seeds: tuple[str, ...]) -> None:
        """Send beats to seeds from now on, beside those known before."""
        self.seeds = tuple(dict.fromkeys((*self.seeds, *seeds)))
        for seed in seeds:
            self._learn(seed, self.context.clock())

    def all(self) -> list[Member]:
        """Return all members that were heard and are not forgotten."""
        return [item for item in self._members.values() if item.incarnation]

    def live(self, now: float) -> list[Member]:
        """Return the members that were heard lately."""
        return [item for item in self.all() if now - item.heard < LIVE_S]

    def entries(self) -> int:
        """Return how many entries there are, with this one, silent ones too."""
        return 1 + sum(item.entry for item in self.all())

    def tick(self, now: float) -> None:
        """Send beats, open silent connections anew, forget who is gone."""
        if now < self._next_beat:
            return
        self._next_beat = now + len(self._members) / BEATS_PER_S
        self._forget(now)
        beat = self.compose()
        for member in list(self._members.values()):
            self._reconnect(member, now)
            self.context.send(member.address, _with_echo(beat, member.echo))

    def tell_entries(self, message: Message) -> None:
        """Send a message to the other entries at once, unless there are too many."""
        entries = [item for item in self.all() if item.entry]
        if len(entries) > MOST_TOLD:
            return
        for member in entries:
            self.context.send(member.address, message)

    def farewell(self) -> None:
        """Tell everybody that this process ends."""
        for member in self.all():
            self.context.send(member.address, Farewell())

    def known(self, now: float) -> list[KnownMember]:
        """Return whom to tell others about."""
        return [
            KnownMember(item.address, round(now - item.heard, 2))
            for item in self.all()
            if now - item.heard < HEARSAY_S
        ]

    def _on_beat(self, sender: Sender, beat: Beat) -> None:
        now = self.context.clock()
        member = self._learn(sender.address, now)
        if member is None:
            return
        if member.incarnation not in ("", sender.incarnation):
            self._gone(member)
        member.incarnation = sender.incarnation
        if now - member.heard >= LIVE_S:
            logger.info("member heard", extra={"member": member.address})
        member.heard = now
        member.echo = beat.sent_at
        member.entry, member.zone = beat.entry, beat.zone
        for other in beat.members:
            if other.silent_s < HEARSAY_S:
                self._learn(other.address, now)
        for listener in self.on_beat:
            listener(member, beat)

    def _on_farewell(self, sender: Sender, message: Farewell) -> None:
        member = self._members.get(sender.address)
        if member is not None and member.incarnation == sender.incarnation:
            self._gone(member)
            if member.address not in self.seeds:
                del self._members[member.address]
            member.incarnation = ""

    def _gone(self, member: Member) -> None:
        for listener in self.on_gone:
            listener(member)

    def _learn(self, address: str, now: float) -> Member | None:
        if not address or address == self.context.me.instance:
            return None
        member = self._members.get(address)
        if member is None:
            member = self._members[address] = Member(address, reconnected=now)
            self.context.transport.learn(address, address)
        member.known = now
        return member

    def _reconnect(self, member: Member, now: float) -> None:
        """Open a connection anew that may have gone silent for good."""
        if now - max(member.heard, member.reconnected) >= RECONNECT_S:
            member.reconnected = now
            self.context.transport.reconnect(member.address)

    def _forget(self, now: float) -> None:
        for address, member in list(self._members.items()):
            if now - max(member.heard, member.known) < FORGET_S:
                continue
            if address in self.seeds:
                member.incarnation = ""
                continue
            logger.info("member forgotten", extra={"member": address})
            del self._members[address]
            self.context.transport.forget(address)


def _with_echo(beat: Beat, echo: float) -> Beat:
    return msgspec.structs.replace(beat, echo=echo)

"""Fleet membership by gossip, starting from a few seeds.

Every member sends heartbeats to all members that it knows. A heartbeat lists the
members that the sender knows, so that one reachable seed is enough; other seeds may
be stale or down.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from ebonyglade.context import Context
from ebonyglade.ports import Sender
from ebonyglade.wire.base import Message
from ebonyglade.wire.fleet import FleetHeartbeat, MemberRecord, ShutdownNotice

logger = logging.getLogger(__name__)

HEARTBEAT_S = 0.2  # between two heartbeats in a small fleet
# Broadcasts are sent only to at most this many other entries, since in a larger fleet
# they cost more than they help. Spent tokens then wait for the next heartbeat, and
# refusals are not exchanged.
MAX_BROADCAST_ENTRIES = 40
MAX_HEARTBEATS_PER_S = 100.0  # limit per sending member
LIVENESS_TIMEOUT_S = 1.5  # a member that was silent this long is not live
RECONNECT_AFTER_S = 2.0  # silence after which its connection is reopened
# A member that is not a seed is forgotten after this time without a heartbeat of it
# or a mention by another member.
FORGET_AFTER_S = 30.0
GOSSIP_MAX_AGE_S = 5.0  # a member that others heard within this time is contacted


@dataclass(slots=True)
class Member:
    """Another process of the fleet.

    Attributes:
        address: address at which it receives messages.
        incarnation: new at each of its starts; "" before its first heartbeat.
        entry: whether it takes callers' requests.
        zone: its availability zone.
        last_heard: time of its last heartbeat; negative infinity if none.
        last_mentioned: when it or another member last mentioned its address.
        echo: `sent_at` of its newest heartbeat, which is echoed to it.
        reconnected_at: when its connection was last reopened.
    """

    address: str
    incarnation: str = ""
    entry: bool = False
    zone: str = ""
    last_heard: float = float("-inf")
    last_mentioned: float = 0.0
    echo: float = -1.0
    reconnected_at: float = 0.0


ComposeHeartbeat = Callable[[], FleetHeartbeat]
HeartbeatListener = Callable[[Member, FleetHeartbeat], None]


@dataclass(slots=True)
class FleetMembers:
    """The other members of the fleet.

    Attributes:
        context: transport, clock and timers.
        seeds: addresses to contact first; never forgotten.
        compose: returns the heartbeat to send, without its echo.
        heartbeat_listeners: called with each member's heartbeat.
        departure_listeners: called when a member announces its shutdown or has a new
            incarnation; not when it is forgotten.
    """

    context: Context
    seeds: tuple[str, ...]
    compose: ComposeHeartbeat
    heartbeat_listeners: list[HeartbeatListener] = field(default_factory=list)
    departure_listeners: list[Callable[[Member], None]] = field(default_factory=list)
    _members: dict[str, Member] = field(default_factory=dict)
    _next_heartbeat_at: float = 0.0

    def start(self) -> None:
        """Register handlers and start sending heartbeats, first to the seeds."""
        self.context.handle(
            {
                FleetHeartbeat: self._on_heartbeat,
                ShutdownNotice: self._on_shutdown_notice,
            }
        )
        self.add_seeds(self.seeds)
        self.context.every(HEARTBEAT_S, self.send_heartbeats)
        self.send_heartbeats(self.context.clock())

    def add_seeds(self, seeds: tuple[str, ...]) -> None:
        """Add seeds that heartbeats are sent to from now on."""
        self.seeds = tuple(dict.fromkeys((*self.seeds, *seeds)))
        for seed in seeds:
            self._add(seed, self.context.clock())

    def all(self) -> list[Member]:
        """Return all members that sent heartbeats and are not forgotten."""
        return [item for item in self._members.values() if item.incarnation]

    def live(self, now: float) -> list[Member]:
        """Return the members that sent a heartbeat within `LIVENESS_TIMEOUT_S`."""
        return [
            item for item in self.all() if now - item.last_heard < LIVENESS_TIMEOUT_S
        ]

    def entry_count(self) -> int:
        """Return the number of entries, including this one and silent ones."""
        return 1 + sum(item.entry for item in self.all())

    def send_heartbeats(self, now: float) -> None:
        """Send heartbeats, reopen silent connections and forget silent members."""
        if now < self._next_heartbeat_at:
            return
        self._next_heartbeat_at = now + len(self._members) / MAX_HEARTBEATS_PER_S
        self._forget(now)
        heartbeat = self.compose()
        for member in list(self._members.values()):
            self._reconnect(member, now)
            self.context.send(member.address, _with_echo(heartbeat, member.echo))

    def broadcast_to_entries(self, message: Message) -> None:
        """Send a message to the other entries, unless there are too many."""
        entries = [item for item in self.all() if item.entry]
        if len(entries) > MAX_BROADCAST_ENTRIES:
            return
        for member in entries:
            self.context.send(member.address, message)

    def announce_shutdown(self) -> None:
        """Tell all members that this process ends."""
        for member in self.all():
            self.context.send(member.address, ShutdownNotice())

    def recent_members(self, now: float) -> list[MemberRecord]:
        """Return the members to list in a heartbeat."""
        return [
            MemberRecord(item.address, round(now - item.last_heard, 2))
            for item in self.all()
            if now - item.last_heard < GOSSIP_MAX_AGE_S
        ]

    def _on_heartbeat(self, sender: Sender, heartbeat: FleetHeartbeat) -> None:
        now = self.context.clock()
        member = self._add(sender.address, now)
        if member is None:
            return
        if member.incarnation not in ("", sender.incarnation):
            self._notify_departure(member)
        member.incarnation = sender.incarnation
        if now - member.last_heard >= LIVENESS_TIMEOUT_S:
            logger.info("member became live", extra={"member": member.address})
        member.last_heard = now
        member.echo = heartbeat.sent_at
        member.entry, member.zone = heartbeat.entry, heartbeat.zone
        for other in heartbeat.members:
            if other.silent_s < GOSSIP_MAX_AGE_S:
                self._add(other.address, now)
        for listener in self.heartbeat_listeners:
            listener(member, heartbeat)

    def _on_shutdown_notice(self, sender: Sender, message: ShutdownNotice) -> None:
        member = self._members.get(sender.address)
        if member is not None and member.incarnation == sender.incarnation:
            self._notify_departure(member)
            if member.address not in self.seeds:
                del self._members[member.address]
            member.incarnation = ""

    def _notify_departure(self, member: Member) -> None:
        for listener in self.departure_listeners:
            listener(member)

    def _add(self, address: str, now: float) -> Member | None:
        if not address or address == self.context.identity.instance:
            return None
        member = self._members.get(address)
        if member is None:
            member = self._members[address] = Member(address, reconnected_at=now)
            self.context.transport.set_address(address, address)
        member.last_mentioned = now
        return member

    def _reconnect(self, member: Member, now: float) -> None:
        """Reopen a connection that may be dead."""
        if now - max(member.last_heard, member.reconnected_at) >= RECONNECT_AFTER_S:
            member.reconnected_at = now
            self.context.transport.reconnect(member.address)

    def _forget(self, now: float) -> None:
        for address, member in list(self._members.items()):
            if now - max(member.last_heard, member.last_mentioned) < FORGET_AFTER_S:
                continue
            if address in self.seeds:
                member.incarnation = ""
                continue
            logger.info("member forgotten", extra={"member": address})
            del self._members[address]
            self.context.transport.remove_peer(address)


def _with_echo(heartbeat: FleetHeartbeat, echo: float) -> FleetHeartbeat:
    return msgspec.structs.replace(heartbeat, echo=echo)

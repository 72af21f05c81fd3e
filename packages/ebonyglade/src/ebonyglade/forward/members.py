"""Fleet membership by gossip, starting from a few seeds.

In a small fleet every member sends heartbeats to all others. In a larger one a member
sends them to those of its own availability zone, and a few members of each zone report
for all of it to the other zones, see `zone_exchange`. What a member sends and receives
then depends on the size of its zone and on the number of zones, not on the fleet.

Some of the heartbeats list members that the sender knows, so that one reachable seed
is enough; other seeds may be stale or down.
"""

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import msgspec

from ebonyglade.context import Context
from ebonyglade.hashing import hexdigest
from ebonyglade.ports import Sender
from ebonyglade.wire.base import Message
from ebonyglade.wire.fleet import FleetHeartbeat, MemberRecord, ShutdownNotice

logger = logging.getLogger(__name__)

HEARTBEAT_S = 0.2  # between two heartbeats to few members
MAX_HEARTBEATS_PER_S = 100.0  # limit per sending member
LIVENESS_TIMEOUT_S = 1.5  # a member that was silent this long is not live
LIVENESS_HEARTBEATS = 4  # heartbeats that must be missing too, where they are rarer
RECONNECT_AFTER_S = 2.0  # silence after which its connection is reopened
# A member that is not a seed is forgotten after this time without a heartbeat of it
# or a mention by another member.
FORGET_AFTER_S = 30.0
GOSSIP_MAX_AGE_S = 5.0  # a member that others heard within this time is contacted
# Fleets above the first size are divided by zones, and again undivided below the
# second one.
ZONED_ABOVE_MEMBERS = 16
UNDIVIDED_BELOW_MEMBERS = 12
MAX_LISTED_MEMBERS = 24  # in a heartbeat to a member that was heard before
# Totals are complete in each so many heartbeats, and in those to members that joined
# less than `NEW_MEMBER_S` ago.
COMPLETE_EVERY = 8
NEW_MEMBER_S = 2.0
# A process that starts learns of the members in this time, before it tells of new ones.
JOIN_S = 1.0
LISTED_AS_NEW_S = 3.0  # for which an entry that became live is listed to all members
# A member that is not among those that heartbeats are sent to gets one in answer to
# its own, at most this often.
ANSWER_INTERVAL_S = 0.5
REPORTERS_PER_ZONE = 2  # a second one, so that nothing is missing when the first ends
RANK_BYTES = 8


@dataclass(slots=True)
class Member:
    """Another process of the fleet.

    Attributes:
        address: address at which it receives messages.
        incarnation: new at each of its starts; "" before its first heartbeat.
        entry: whether it takes callers' requests.
        zone: its availability zone; "" if it is not known.
        capacity: rate of its network link in Mbit/s; 0 if not known.
        zoned: whether it needs no heartbeats of other zones in a large fleet.
        permits: whether it can grant permits for endpoints that state a limit.
        origins: whether it keeps which software version began a stream.
        retries: whether it can grant retries, see `RetryRequest`.
        known_since: when its address became known.
        last_heard: time of its last heartbeat; negative infinity if none.
        live_since: when it became live with this incarnation.
        last_mentioned: when it or another member last mentioned its address.
        echo: `sent_at` of its newest heartbeat, which is echoed to it.
        reached_at: when the newest message was sent that it said it received.
        reconnected_at: when its connection was last reopened.
        answered_at: when a heartbeat of it was last answered.
        read_age_s: at `last_heard`, seconds since the store answered its own last
            read; infinity if it does not read.
    """

    address: str
    incarnation: str = ""
    entry: bool = False
    zone: str = ""
    capacity: float = 0.0
    zoned: bool = False
    permits: bool = False
    origins: bool = False
    retries: bool = False
    known_since: float = 0.0
    last_heard: float = float("-inf")
    live_since: float = float("-inf")
    last_mentioned: float = 0.0
    echo: float = -1.0
    reached_at: float = float("-inf")
    reconnected_at: float = 0.0
    answered_at: float = float("-inf")
    read_age_s: float = float("inf")

    def read_age(self, now: float) -> float:
        """Return the seconds since the store answered it, as far as is known."""
        return self.read_age_s + now - self.last_heard


@dataclass(slots=True)
class OtherZones:
    """What zone reports say of the members of other availability zones.

    Attributes:
        reporters: addresses of the members that report, by zone.
        members: number of members of all other zones.
        entries: number of entries among them.
        permit_owners: address of the member that grants the permits of each zone's
            endpoints.
    """

    reporters: dict[str, list[str]] = field(default_factory=dict)
    members: int = 0
    entries: int = 0
    permit_owners: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class PermitOwners:
    """The members that grant permits for endpoints that state a limit, by zone."""

    by_zone: dict[str, str]

    def of(self, zone: str) -> str:
        """Return the member for the endpoints of a zone.

        It is that of the first other zone if the zone has none.
        """
        return self.by_zone.get(zone) or self.by_zone[min(self.by_zone)]


ComposeHeartbeat = Callable[[bool], FleetHeartbeat]
"""Returns the heartbeat to send, with all totals or with those that changed lately."""
HeartbeatListener = Callable[[Member, FleetHeartbeat], None]


def _record_of(member: Member, now: float) -> MemberRecord:
    """Return the record by which others learn of a member."""
    return MemberRecord(
        member.address,
        round(now - member.last_heard, 2),
        member.zone,
        member.capacity,
        member.entry,
    )


def reporter_rank(address: str, capacity: float) -> tuple[float, str]:
    """Return the sort key by which a zone's members report for it.

    Members with the most network capacity come first.
    """
    return -capacity, hexdigest((address.encode(),), RANK_BYTES)


@dataclass(slots=True)
class FleetMembers:
    """The other members of the fleet.

    Attributes:
        context: transport, clock and timers.
        seeds: addresses to contact first; not forgotten while they are seeds.
        compose: composes heartbeats; echo and members are filled in here.
        capacity: rate of the own network link in Mbit/s; 0 if not known.
        heartbeat_listeners: called with each member's heartbeat.
        departure_listeners: called when a member announces its shutdown or has a new
            incarnation; not when it is forgotten.
        other_zones: what is known of the other zones in a divided fleet.
        undivided_up_to: number of members above which a fleet is divided.
        divided: whether the fleet is divided by zones.
    """

    context: Context
    seeds: tuple[str, ...]
    compose: ComposeHeartbeat
    capacity: float = 0.0
    heartbeat_listeners: list[HeartbeatListener] = field(default_factory=list)
    departure_listeners: list[Callable[[Member], None]] = field(default_factory=list)
    other_zones: OtherZones = field(default_factory=OtherZones)
    undivided_up_to: int = ZONED_ABOVE_MEMBERS
    divided: bool = False
    _members: dict[str, Member] = field(default_factory=dict)
    _next_heartbeat_at: float = 0.0
    _interval_s: float = HEARTBEAT_S
    _rounds: int = 0
    _started_at: float = 0.0

    def start(self) -> None:
        """Register handlers and start sending heartbeats, first to the seeds."""
        self.context.handle(
            {
                FleetHeartbeat: self._on_heartbeat,
                ShutdownNotice: self._on_shutdown_notice,
            }
        )
        self._started_at = self.context.clock()
        self.set_seeds(self.seeds)
        self.context.every(HEARTBEAT_S, self.send_heartbeats)
        self.send_heartbeats(self.context.clock())

    @property
    def zone(self) -> str:
        """Availability zone of this process."""
        return self.context.identity.zone

    @property
    def address(self) -> str:
        """Address of this process."""
        return self.context.identity.instance

    @property
    def liveness_timeout_s(self) -> float:
        """Silence after which a member is not live."""
        return max(LIVENESS_TIMEOUT_S, LIVENESS_HEARTBEATS * self._interval_s)

    @property
    def names_others(self) -> bool:
        """Whether the settings name any other member as a seed."""
        return any(seed != self.address for seed in self.seeds)

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Set the seeds, which heartbeats are sent to from now on."""
        self.seeds = tuple(dict.fromkeys(seeds))
        for seed in seeds:
            self._add(seed, self.context.clock())

    def all(self) -> list[Member]:
        """Return all members that sent heartbeats and are not forgotten."""
        return [item for item in self._members.values() if item.incarnation]

    def live(self, now: float) -> list[Member]:
        """Return the members that sent a heartbeat within the liveness timeout."""
        timeout = self.liveness_timeout_s
        return [item for item in self.all() if now - item.last_heard < timeout]

    def is_represented(self, member: Member) -> bool:
        """Return whether zone reports speak for a member instead of its heartbeats."""
        return self.divided and member.zoned and member.zone != self.zone

    def direct(self) -> list[Member]:
        """Return the members that speak for themselves: all, or those of the zone."""
        return [item for item in self.all() if not self.is_represented(item)]

    def entry_count(self) -> int:
        """Return the number of entries, including this one and silent ones."""
        others = self.other_zones.entries if self.divided else 0
        return 1 + others + sum(item.entry for item in self.direct())

    def live_entry_share(self, now: float) -> float:
        """Return the share of live entries among all that may still serve callers.

        Of the fleet's parts that do not hear each other, each uses its share.
        """
        live = {item.address for item in self.live(now)}
        silent = sum(item.entry and item.address not in live for item in self.direct())
        return 1.0 - silent / self.entry_count()

    def permit_owners(self, now: float) -> PermitOwners:
        """Return the members that grant permits; this process may be among them.

        They are the first ones of their zones by `reporter_rank`.
        """
        ranked = [(reporter_rank(self.address, self.capacity), self.zone, self.address)]
        ranked += [
            (reporter_rank(item.address, item.capacity), item.zone, item.address)
            for item in self.live(now)
            if item.permits and not self.is_represented(item)
        ]
        ranked.sort(reverse=True)
        owners = {zone: address for _, zone, address in ranked}
        if self.divided:
            owners |= self.other_zones.permit_owners
        return PermitOwners(owners)

    def zone_members(self, now: float) -> list[Member]:
        """Return the live members of the own zone that zone reports speak for."""
        return [
            item for item in self.live(now) if item.zoned and item.zone == self.zone
        ]

    def silent_entries(self, now: float) -> int:
        """Return the number of entries of the own zone that fell silent."""
        live = {item.address for item in self.live(now)}
        return sum(
            item.entry and item.zone == self.zone and item.address not in live
            for item in self.all()
        )

    def zone_reporters(self, now: float) -> list[str]:
        """Return the addresses of the own zone's members, in the order of reporting."""
        capacities = {item.address: item.capacity for item in self.zone_members(now)}
        capacities[self.address] = self.capacity
        return sorted(
            capacities, key=lambda name: reporter_rank(name, capacities[name])
        )

    def is_reporter(self, now: float) -> bool:
        """Return whether this process reports for its zone."""
        return self.address in self.zone_reporters(now)[:REPORTERS_PER_ZONE]

    def reporters_elsewhere(self, now: float) -> list[str]:
        """Return the addresses of the members that report for other zones.

        Of a zone that was not reported yet, the members with the first ranks are
        returned.
        """
        known = self.other_zones.reporters
        found = [
            address
            for addresses in known.values()
            for address in addresses[:REPORTERS_PER_ZONE]
        ]
        for zone, members in self._mentioned_by_zone(now).items():
            if zone not in known:
                members.sort(
                    key=lambda item: reporter_rank(item.address, item.capacity)
                )
                found += [item.address for item in members[:REPORTERS_PER_ZONE]]
        return found

    def introduce(self, address: str, zone: str) -> None:
        """Add the address of a member of another zone."""
        self._add(address, self.context.clock(), zone)

    def send_heartbeats(self, now: float) -> None:
        """Send heartbeats, reopen silent connections and forget silent members."""
        if now < self._next_heartbeat_at:
            return
        self._update_division(now)
        targets = self._targets(now)
        pace_s = len(targets) / MAX_HEARTBEATS_PER_S
        self._interval_s = max(HEARTBEAT_S, pace_s)
        self._next_heartbeat_at = now + pace_s
        self._forget(now)
        self._rounds += 1
        listed = self.context.rng.choice(targets) if targets else None
        complete = self.compose(True)
        lately = complete
        if self._rounds % COMPLETE_EVERY:
            lately = self.compose(False)
        reporters = self._load_reporters(complete, now)
        for member in targets:
            self._reconnect(member, now)
            new = now - member.known_since < NEW_MEMBER_S
            heartbeat = complete if new or member.echo < 0 else lately
            if heartbeat.loads and not (member.entry or member.address in reporters):
                heartbeat = msgspec.structs.replace(heartbeat, loads=[])
            records = self._records_for(member, listed is member, now)
            self._send(member, heartbeat, records)

    def broadcast_to_entries(self, message: Message) -> None:
        """Send a message to the other entries that this process speaks to."""
        for member in self.direct():
            if member.entry:
                self.context.send(member.address, message)

    def announce_shutdown(self) -> None:
        """Tell all members that this process ends."""
        for member in self.all():
            self.context.send(member.address, ShutdownNotice())

    def _send(
        self, member: Member, heartbeat: FleetHeartbeat, records: list[MemberRecord]
    ) -> None:
        """Send a heartbeat with the member's echo and a list of members."""
        self.context.send(
            member.address,
            msgspec.structs.replace(heartbeat, echo=member.echo, members=records),
        )

    def _load_reporters(self, heartbeat: FleetHeartbeat, now: float) -> list[str]:
        """Return the members of the zone that need loads to report them.

        Other agents choose among no endpoints and get none.
        """
        if not (self.divided and heartbeat.loads):
            return []
        return self.zone_reporters(now)[:REPORTERS_PER_ZONE]

    def _records_for(
        self, member: Member, listing: bool, now: float
    ) -> list[MemberRecord]:
        """Return the members to list: all to newcomers, a sample if `listing`.

        Entries that came or went are listed to all members, also to those that they do
        not reach themselves.
        """
        if member.echo < 0:
            return self._all_records(now)
        if not listing:
            return self._changed_entry_records(now)
        records = self._records(now)
        if len(records) > MAX_LISTED_MEMBERS:
            records = self.context.rng.sample(records, MAX_LISTED_MEMBERS)
        return records

    def _records(self, now: float) -> list[MemberRecord]:
        """Return the members that were heard lately, and the entries that were not."""
        return [
            _record_of(item, now)
            for item in self.direct()
            if item.entry or now - item.last_heard < GOSSIP_MAX_AGE_S
        ]

    def _changed_entry_records(self, now: float) -> list[MemberRecord]:
        """Return the entries that became live lately and, less often, silent ones."""
        if now - self._started_at < JOIN_S:
            return []
        tells_silent = self._rounds % COMPLETE_EVERY == 0
        found = [
            _record_of(item, now)
            for item in self.direct()
            if item.entry
            and (
                now - item.live_since < LISTED_AS_NEW_S
                or (tells_silent and now - item.last_heard >= GOSSIP_MAX_AGE_S)
            )
        ]
        return found[:MAX_LISTED_MEMBERS]

    def _all_records(self, now: float) -> list[MemberRecord]:
        """Return the members for a newcomer, which may be of any zone."""
        records = self._records(now)
        for zone, addresses in self.other_zones.reporters.items():
            records += [MemberRecord(address, 0.0, zone) for address in addresses]
        return records

    def _targets(self, now: float) -> list[Member]:
        """Return the members that heartbeats are sent to."""
        if not self.divided:
            return list(self._members.values())
        addresses = {
            item.address
            for item in self._members.values()
            if item.zone in ("", self.zone) or (item.incarnation and not item.zoned)
        }
        if self.is_reporter(now):
            addresses |= {*self.reporters_elsewhere(now), *self.seeds}
        return [item for name, item in self._members.items() if name in addresses]

    def _update_division(self, now: float) -> None:
        """Divide a large fleet by zones, or undivide one that has become small."""
        known = [item for item in self._members.values() if self._is_recent(item, now)]
        in_zone = sum(item.zone == self.zone for item in known)
        size = 1 + max(len(known), in_zone + self.other_zones.members)
        if self.divided:
            divided = size >= UNDIVIDED_BELOW_MEMBERS
        else:
            divided = size > self.undivided_up_to
        if divided != self.divided:
            logger.info(
                "fleet divided by zones" if divided else "fleet no longer divided",
                extra={"members": size},
            )
        self.divided = divided

    def _mentioned_by_zone(self, now: float) -> dict[str, list[Member]]:
        """Return the members of other zones that were heard or mentioned lately."""
        found: dict[str, list[Member]] = {}
        for item in self._members.values():
            if item.zone not in ("", self.zone) and self._is_recent(item, now):
                found.setdefault(item.zone, []).append(item)
        return found

    def _is_recent(self, member: Member, now: float) -> bool:
        last = max(member.last_heard, member.last_mentioned)
        return now - last < GOSSIP_MAX_AGE_S

    def _on_heartbeat(self, sender: Sender, heartbeat: FleetHeartbeat) -> None:
        now = self.context.clock()
        member = self._add(sender.address, now)
        if member is None:
            return
        if member.incarnation not in ("", sender.incarnation):
            self._notify_departure(member)
        returned = now - member.last_heard >= self.liveness_timeout_s
        if returned or member.incarnation != sender.incarnation:
            member.live_since = now
        member.incarnation = sender.incarnation
        if returned:
            logger.info(
                "member became live",
                extra={"member": member.address, "entry": heartbeat.entry},
            )
        newcomer = member.echo < 0 or heartbeat.echo < 0
        member.last_heard = now
        if heartbeat.echo <= now:
            member.reached_at = max(member.reached_at, heartbeat.echo)
        member.echo = heartbeat.sent_at
        member.entry, member.zone = heartbeat.entry, heartbeat.zone
        member.capacity, member.zoned = heartbeat.capacity, heartbeat.zoned
        member.permits, member.origins = heartbeat.permits, heartbeat.origins
        member.retries = heartbeat.entries > 0
        read_age_s = heartbeat.store.read_age_s
        member.read_age_s = read_age_s if read_age_s >= 0 else float("inf")
        self._add_listed(heartbeat.members, now)
        self._answer(member, newcomer, now)
        for listener in self.heartbeat_listeners:
            listener(member, heartbeat)

    def _add_listed(self, records: Iterable[MemberRecord], now: float) -> None:
        for record in records:
            if record.silent_s < GOSSIP_MAX_AGE_S:
                self._add(record.address, now, record.zone, record.capacity)

    def _answer(self, member: Member, newcomer: bool, now: float) -> None:
        """Answer a member that gets no heartbeats otherwise, or did not get one yet."""
        if not newcomer and not self.is_represented(member):
            return
        if now - member.answered_at >= ANSWER_INTERVAL_S:
            member.answered_at = now
            records = self._all_records(now) if newcomer else []
            self._send(member, self.compose(True), records)

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

    def _add(
        self, address: str, now: float, zone: str = "", capacity: float = 0.0
    ) -> Member | None:
        if not address or address == self.address:
            return None
        member = self._members.get(address)
        if member is None:
            member = Member(address, known_since=now, reconnected_at=now)
            self._members[address] = member
            self.context.transport.set_address(address, address)
        if not member.zone:
            member.zone, member.capacity = zone, capacity
        member.last_mentioned = now
        return member

    def _reconnect(self, member: Member, now: float) -> None:
        """Reopen a connection that may be dead.

        It may be silent one way only: the member is heard, and hears nothing.
        """
        silent_s = now - max(member.last_heard, member.reconnected_at)
        unheard_s = now - max(member.reached_at, member.reconnected_at)
        if (
            silent_s >= RECONNECT_AFTER_S
            or unheard_s >= RECONNECT_AFTER_S + self.liveness_timeout_s
        ):
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

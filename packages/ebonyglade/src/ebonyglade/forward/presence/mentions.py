"""What other members say of entries, also of those that this process never heard."""

from dataclasses import dataclass, field

from ebonyglade.forward.members import FORGET_AFTER_S, FleetMembers, Member
from ebonyglade.wire.fleet import FleetHeartbeat, MemberRecord

# An entry that lives and is not cut off is heard within this time after the first
# mention of it.
HEARD_WITHIN_S = 1.0
# Members repeat more often that an entry is silent.
STATEMENT_LASTS_S = 5.0
# A heartbeat that an entry sent before it ended may be mentioned after its end.
DEPARTURE_MARGIN_S = 0.5


@dataclass(frozen=True, slots=True)
class _Statement:
    """What one member said of an entry.

    Attributes:
        silent_s: seconds for which it had not heard the entry.
        at: when it said so.
    """

    silent_s: float
    at: float

    @property
    def heard_at(self) -> float:
        """When the member had last heard the entry."""
        return self.at - self.silent_s


@dataclass(slots=True)
class _Mention:
    """What members say of an entry.

    Attributes:
        zone: its availability zone.
        since: when it was first mentioned.
        statements: newest statement of each member, by its address.
    """

    zone: str
    since: float
    statements: dict[str, _Statement] = field(default_factory=dict)

    @property
    def heard_at(self) -> float:
        """When a member last heard it."""
        return max(item.heard_at for item in self.statements.values())


class Mentions:
    """The entries that members mention in their heartbeats."""

    def __init__(self, members: FleetMembers) -> None:
        """Create an empty collection.

        Args:
            members: the members of the fleet.
        """
        self._members = members
        self._mentions: dict[str, _Mention] = {}
        self._ended: dict[str, float] = {}

    def on_heartbeat(
        self, member: Member, heartbeat: FleetHeartbeat, now: float
    ) -> None:
        """Record the entries that a member mentions."""
        for record in heartbeat.members:
            if record.entry and record.address != self._members.address:
                self._record(member.address, record, now)

    def on_departure(self, member: Member, now: float) -> None:
        """Forget an entry that has announced its shutdown, or was started again."""
        self._mentions.pop(member.address, None)
        self._ended[member.address] = now

    def unheard(self, now: float) -> list[str]:
        """Return the addresses of the entries that only others hear.

        In a divided fleet, zone reports speak for the entries of other zones.
        """
        heard = {item.address for item in self._members.all()}
        divided, zone = self._members.divided, self._members.zone
        return [
            address
            for address, mention in self._mentions.items()
            if address not in heard
            and now - mention.since >= HEARD_WITHIN_S
            and not (divided and mention.zone != zone)
        ]

    def silent_at(self, entry: str, silent_s: float, now: float) -> set[str]:
        """Return the addresses of the members that lately said that it is silent.

        Args:
            entry: address of an entry.
            silent_s: least seconds for which they had not heard it.
            now: seconds.
        """
        mention = self._mentions.get(entry)
        if mention is None:
            return set()
        return {
            name
            for name, item in mention.statements.items()
            if item.silent_s >= silent_s and now - item.at < STATEMENT_LASTS_S
        }

    def forget(self, now: float) -> None:
        """Forget the entries that no member has heard for `FORGET_AFTER_S`."""
        for address, mention in list(self._mentions.items()):
            if now - mention.heard_at >= FORGET_AFTER_S:
                del self._mentions[address]
        for address, at in list(self._ended.items()):
            if now - at >= FORGET_AFTER_S:
                del self._ended[address]

    def _record(self, sender: str, record: MemberRecord, now: float) -> None:
        statement = _Statement(record.silent_s, now)
        ended_at = self._ended.get(record.address, float("-inf"))
        if statement.heard_at <= ended_at + DEPARTURE_MARGIN_S:
            return
        mention = self._mentions.get(record.address)
        if mention is None:
            mention = self._mentions[record.address] = _Mention(record.zone, now)
        mention.statements[sender] = statement

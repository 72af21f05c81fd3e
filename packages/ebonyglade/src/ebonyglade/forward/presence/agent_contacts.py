"""Since when this process and the agents of model endpoints hear each other.

All processes read the same list of model endpoints from the store, and each of these
has one agent. Two processes that are both in touch with most of the agents share one,
which tells each of them about the other.
"""

from dataclasses import dataclass

from ebonyglade.forward.members import FleetMembers, Member
from ebonyglade.forward.store.store_replica import StoreReplica
from ebonyglade.wire.fleet import FleetHeartbeat, ZoneReport

# After its last contact an agent counts as out of touch. It is less than `SETTLE_S`, so
# that a process has lost its majority before another one can have gained it.
LEASE_S = 3.0
# Within this time an agent hears all entries that reach it, also on connections that
# have to be opened again, and tells the others of them.
SETTLE_S = 4.0


@dataclass(slots=True)
class _Contact:
    """Contact with the agent of one endpoint.

    Attributes:
        agent: address of the agent.
        incarnation: its incarnation; "" if a zone report told of it.
        since: time in seconds since which the contact has lasted.
        last: latest time at which both heard each other.
    """

    agent: str
    incarnation: str
    since: float
    last: float


class AgentContacts:
    """The contacts of this process with the agents of the listed model endpoints."""

    def __init__(self, members: FleetMembers, replica: StoreReplica) -> None:
        """Create the contacts.

        Args:
            members: the members of the fleet.
            replica: local replica of the store, which lists the endpoints.
        """
        self._members = members
        self._replica = replica
        self._contacts: dict[str, _Contact] = {}

    @property
    def any_known(self) -> bool:
        """Whether there was ever a contact with an agent of a listed endpoint."""
        return any(name in self._contacts for name in self._listed())

    def on_heartbeat(self, member: Member, heartbeat: FleetHeartbeat) -> None:
        """Record a contact if a member is the agent of an endpoint and hears this."""
        if heartbeat.engine is not None and not self._members.is_represented(member):
            self._record(
                heartbeat.engine.endpoint,
                member.address,
                member.incarnation,
                member.reached_at,
            )

    def on_zone_report(self, report: ZoneReport, at: float) -> None:
        """Record the contacts that the members of another zone report."""
        for record in report.engines:
            self._record(record.state.endpoint, record.agent, "", at)

    def counts(self, now: float) -> tuple[int, int]:
        """Return the agents in touch, and the model endpoints that are listed."""
        listed = self._listed()
        return sum(self._is_in_touch(name, now) for name in listed), len(listed)

    def is_settled(self, now: float) -> bool:
        """Return whether most agents have been in touch for `SETTLE_S`."""
        listed = self._listed()
        settled = sum(
            self._is_in_touch(name, now)
            and now - self._contacts[name].since >= SETTLE_S
            for name in listed
        )
        return 2 * settled > len(listed)

    def are_most(self, members: set[str], now: float) -> bool:
        """Return whether the agents of most endpoints are in touch and in a set."""
        listed = self._listed()
        found = sum(
            self._is_in_touch(name, now) and self._contacts[name].agent in members
            for name in listed
        )
        return 2 * found > len(listed)

    def lease_until(self) -> float:
        """Return the time until which most agents count as in touch.

        It is negative infinity if they never were.
        """
        listed = self._listed()
        ends = sorted(
            self._contacts[name].last + LEASE_S
            for name in listed
            if name in self._contacts
        )
        majority = len(listed) // 2 + 1
        return ends[-majority] if len(ends) >= majority else float("-inf")

    def forget(self) -> None:
        """Forget the agents of endpoints that are not listed any more."""
        for name in set(self._contacts) - set(self._listed()):
            del self._contacts[name]

    def _listed(self) -> list[str]:
        endpoints = self._replica.registry.endpoints.values()
        return [item.id for item in endpoints if item.stage is not None]

    def _is_in_touch(self, endpoint: str, now: float) -> bool:
        contact = self._contacts.get(endpoint)
        return contact is not None and now - contact.last < LEASE_S

    def _record(self, endpoint: str, agent: str, incarnation: str, at: float) -> None:
        known = self._contacts.get(endpoint)
        if known is None or at - known.last >= LEASE_S or known.agent != agent:
            self._contacts[endpoint] = _Contact(agent, incarnation, at, at)
            return
        if incarnation and known.incarnation not in ("", incarnation):
            known.since = at
        known.incarnation = incarnation or known.incarnation
        known.last = max(known.last, at)

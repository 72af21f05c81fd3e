"""Whether this process knows of all entries that may serve callers beside it.

An entry that hears no other one may be the last one, or may be cut off from others that
use the whole rate. Silence does not tell the two apart, and neither does its length.
What does is in `Evidence`.
"""

import logging
from enum import Enum

from ebonyglade.context import Context
from ebonyglade.forward.members import FleetMembers, Member
from ebonyglade.forward.presence.agent_contacts import AgentContacts
from ebonyglade.forward.presence.fleet_share import (
    MAJORITY_SHARE,
    WHOLE,
    FleetShare,
)
from ebonyglade.forward.presence.mentions import Mentions
from ebonyglade.wire.fleet import FleetHeartbeat, ZoneReport

logger = logging.getLogger(__name__)

UPDATE_INTERVAL_S = 0.2
# An entry that most agents have not heard for this time uses `MINORITY_SHARE` at most.
LAPSED_AFTER_S = 5.0
MEMORY_S = 3600.0  # longest partition for which entries that fell silent are counted


class Evidence(Enum):
    """What shows that no entry serves callers that this process does not reckon with.

    It stays once it was found, until stronger evidence replaces it.
    """

    NONE = 0
    AGENTS = 1  # most of them hear this entry, and would tell of others
    SETTINGS = 2  # they name no other member
    ENTRY = 3  # another entry was heard


class OtherEntries:
    """What this process knows of the other entries."""

    def __init__(
        self, context: Context, members: FleetMembers, contacts: AgentContacts
    ) -> None:
        """Create the knowledge of a process that starts.

        Args:
            context: clock and timers.
            members: the members of the fleet.
            contacts: contacts with agents.
        """
        self._context = context
        self._members = members
        self._contacts = contacts
        self._mentions = Mentions(members)
        self._lapsed: set[str] = set()
        self.evidence = Evidence.NONE
        self._look_for_evidence(context.clock())

    @property
    def known(self) -> bool:
        """Whether all entries that may serve callers are reckoned with."""
        return self.evidence is not Evidence.NONE

    @property
    def is_only_one(self) -> bool:
        """Whether this is the only entry, as far as agents or the settings tell."""
        return self.evidence in (Evidence.SETTINGS, Evidence.AGENTS)

    def start(self) -> None:
        """Register listeners and the timer."""
        self._members.heartbeat_listeners.append(self._on_heartbeat)
        self._members.departure_listeners.append(self._on_departure)
        self._context.every(UPDATE_INTERVAL_S, self._update)

    def on_zone_report(self, report: ZoneReport, at: float) -> None:
        """Record what is reported of another zone."""
        self._contacts.on_zone_report(report, at)
        if report.entries:
            self._find(Evidence.ENTRY)

    def unheard_count(self) -> int:
        """Return the number of entries that only other members hear."""
        now = self._context.clock()
        return len(set(self._mentions.unheard(now)) - self._lapsed)

    def has_lapsed(self, entry: str) -> bool:
        """Return whether an entry is out of touch with most agents, or has ended."""
        return entry in self._lapsed

    def may_forget(self, now: float) -> bool:
        """Return whether entries that were silent for long may be left out.

        Those that still live are then not in touch with most agents.
        """
        return self._contacts.is_settled(now)

    def share(self, now: float, missing: bool) -> FleetShare:
        """Return the share of the fleet's rates and retries that is left here.

        What heard and silent entries use of it is not taken off.

        Args:
            now: seconds.
            missing: whether any entry is silent that may still serve callers.
        """
        may_lack = self.evidence is Evidence.AGENTS
        if not self._contacts.any_known or not (missing or may_lack):
            return WHOLE
        value = MAJORITY_SHARE if may_lack else 1.0
        return FleetShare(value, self._contacts.lease_until())

    def _update(self, now: float) -> None:
        self._mentions.forget(now)
        self._contacts.forget()
        self._find_lapsed(now)
        self._look_for_evidence(now)

    def _find_lapsed(self, now: float) -> None:
        """Find the silent entries of which most agents say that they are silent."""
        live = {item.address for item in self._members.live(now)}
        silent = {item.address for item in self._members.direct() if item.entry} - live
        lapsed = {
            entry
            for entry in silent.union(self._mentions.unheard(now))
            if self._contacts.are_most(
                self._mentions.silent_at(entry, LAPSED_AFTER_S, now), now
            )
        }
        if lapsed - self._lapsed:
            logger.info("entries lapsed", extra={"entries": ",".join(sorted(lapsed))})
        self._lapsed = lapsed

    def _look_for_evidence(self, now: float) -> None:
        if not self._members.names_others:
            self._find(Evidence.SETTINGS)
        elif not self.known and self._contacts.is_settled(now):
            self._find(Evidence.AGENTS)

    def _find(self, evidence: Evidence) -> None:
        """Record evidence unless there is stronger one."""
        if evidence.value <= self.evidence.value:
            return
        self.evidence = evidence
        now = self._context.clock()
        in_touch, listed = self._contacts.counts(now)
        logger.info(
            "other entries known",
            extra={
                "evidence": evidence.name.lower(),
                "unheard": self.unheard_count(),
                "agents_in_touch": in_touch,
                "model_endpoints": listed,
            },
        )

    def _on_heartbeat(self, member: Member, heartbeat: FleetHeartbeat) -> None:
        self._contacts.on_heartbeat(member, heartbeat)
        self._mentions.on_heartbeat(member, heartbeat, self._context.clock())
        if heartbeat.entry:
            self._find(Evidence.ENTRY)

    def _on_departure(self, member: Member) -> None:
        self._mentions.on_departure(member, self._context.clock())

"""Exchange of rate limit totals and bucket levels between entries."""

import logging
from dataclasses import dataclass

from ebonyglade.context import Context
from ebonyglade.forward.members import FleetMembers, Member
from ebonyglade.forward.presence.other_entries import (
    MEMORY_S,
    UPDATE_INTERVAL_S,
    OtherEntries,
)
from ebonyglade.forward.rates.fleet_rates import (
    UNHEARD_KEY,
    FleetRates,
    silent_key,
    zone_key,
)
from ebonyglade.forward.types import Workspace
from ebonyglade.forward.zone_exchange import ZoneExchange
from ebonyglade.ports import Sender
from ebonyglade.wire.fleet import (
    FleetHeartbeat,
    RateLevels,
    RateLevelsRequest,
    TokensAdmitted,
    ZoneReport,
)

logger = logging.getLogger(__name__)

# A request that takes this share of a burst is reported to the other entries at once.
BROADCAST_SHARE = 0.02


@dataclass(slots=True)
class RateExchange:
    """Keeps the buckets of all entries in agreement.

    Attributes:
        context: transport and clock.
        members: the other entries.
        rates: this entry's buckets.
        zones: exchange with the other zones of a large fleet.
        others: what is known of the other entries.
    """

    context: Context
    members: FleetMembers
    rates: FleetRates
    zones: ZoneExchange
    others: OtherEntries

    def start(self) -> None:
        """Register listeners and message handlers."""
        self.members.heartbeat_listeners.append(self._on_heartbeat)
        self.members.departure_listeners.append(self._on_member_gone)
        self.zones.listeners.append(self._on_zone_report)
        self.context.handle(
            {
                TokensAdmitted: self._on_spent,
                RateLevelsRequest: self._on_levels_request,
                RateLevels: self._on_levels,
            }
        )
        self.context.every(UPDATE_INTERVAL_S, self._update)

    def announce_spending(self, workspace: Workspace, cost: float) -> None:
        """Report an expensive request to the other entries at once."""
        if workspace.rate <= 0 or cost < BROADCAST_SHARE * workspace.burst:
            return
        message = TokensAdmitted(workspace.name, self.rates.spent[workspace.name])
        self.members.broadcast_to_entries(message)
        self.zones.announce_admitted(message)

    def forget_departed(self) -> None:
        """Forget the entries and zones that no longer speak for themselves.

        Those that fell silent are kept while nothing shows that they have ended, or are
        out of touch with most agents.
        """
        kept = {UNHEARD_KEY}
        kept |= {
            item.address
            for item in self.members.direct()
            if not self.others.has_lapsed(item.address)
        }
        if self.members.divided:
            zones = self.members.other_zones.reporters
            kept |= {zone_key(zone) for zone in zones}
            kept |= {silent_key(zone) for zone in zones}
        now = self.context.clock()
        members = {item.address for item in self.members.all()}
        lost = self.rates.entries_heard_since(now - MEMORY_S) - members
        if self.others.may_forget(now):
            lost = set()
        self.rates.retain_entries(kept | lost)

    def _update(self, now: float) -> None:
        """Apply what is known of entries that this process does not hear."""
        self.rates.set_unheard(self.others.unheard_count())
        if self.others.known:
            self.rates.record_joined(now)
        missing = self.rates.any_silent(now)
        self.rates.set_share(self.others.share(now, missing), now)

    def _on_heartbeat(self, member: Member, heartbeat: FleetHeartbeat) -> None:
        if not heartbeat.entry or self.members.is_represented(member):
            return
        now = self.context.clock()
        self.rates.record_joined(now)
        self.rates.apply_totals(
            member.address,
            member.incarnation,
            heartbeat.spent,
            now,
            complete=not heartbeat.partial,
        )
        if self.rates.should_request_levels(now):
            self.context.send(member.address, RateLevelsRequest())

    def _on_zone_report(self, report: ZoneReport, at: float) -> None:
        if report.entries:
            self.rates.record_joined(self.context.clock())
        self.rates.apply_zone(
            report.zone,
            f"{report.reporter} {report.incarnation}",
            report.spent,
            self.context.clock(),
            report.complete,
            at,
            None if report.partial else report.entries,
            report.silent,
        )

    def _on_member_gone(self, member: Member) -> None:
        self.rates.remove_entry(member.address)

    def _on_spent(self, sender: Sender, message: TokensAdmitted) -> None:
        self.zones.record_admitted(sender.instance, sender.incarnation, message)
        self.rates.apply_early_total(
            sender.instance,
            sender.incarnation,
            message.workspace,
            message.total,
            self.context.clock(),
        )

    def _on_levels_request(self, sender: Sender, message: RateLevelsRequest) -> None:
        now = self.context.clock()
        if self.rates.history_known(now):
            levels = self.rates.levels(sender.instance, now)
            self.context.send(sender.instance, RateLevels(levels))

    def _on_levels(self, sender: Sender, message: RateLevels) -> None:
        if self.rates.adopt_levels(message.levels, self.context.clock()):
            logger.info(
                "rate levels adopted",
                extra={"member": sender.instance, "workspaces": len(message.levels)},
            )

"""Exchange of rate limit totals and bucket levels between entries."""

import logging
from dataclasses import dataclass

from ebonyglade.context import Context
from ebonyglade.forward.members import FleetMembers, Member
from ebonyglade.forward.rates import FleetRates, silent_key, zone_key
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
    """

    context: Context
    members: FleetMembers
    rates: FleetRates
    zones: ZoneExchange

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

    def announce_spending(self, workspace: Workspace, cost: float) -> None:
        """Report an expensive request to the other entries at once."""
        if workspace.rate <= 0 or cost < BROADCAST_SHARE * workspace.burst:
            return
        message = TokensAdmitted(workspace.name, self.rates.spent[workspace.name])
        self.members.broadcast_to_entries(message)
        self.zones.announce_admitted(message)

    def forget_departed(self) -> None:
        """Forget the entries and zones that no longer speak for themselves."""
        kept = {item.address for item in self.members.direct()}
        if self.members.divided:
            zones = self.members.other_zones.reporters
            kept |= {zone_key(zone) for zone in zones}
            kept |= {silent_key(zone) for zone in zones}
        self.rates.retain_entries(kept)

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

"""Exchange of rate limit totals and bucket levels between entries."""

import logging
from dataclasses import dataclass

from ebonyglade.context import Context
from ebonyglade.forward.members import FleetMembers, Member
from ebonyglade.forward.rates import FleetRates
from ebonyglade.forward.types import Workspace
from ebonyglade.ports import Sender
from ebonyglade.wire.fleet import (
    FleetHeartbeat,
    RateLevels,
    RateLevelsRequest,
    TokensAdmitted,
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
    """

    context: Context
    members: FleetMembers
    rates: FleetRates

    def start(self) -> None:
        """Register listeners and message handlers."""
        self.members.heartbeat_listeners.append(self._on_heartbeat)
        self.members.departure_listeners.append(self._on_member_gone)
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
        total = self.rates.spent[workspace.name]
        self.members.broadcast_to_entries(TokensAdmitted(workspace.name, total))

    def forget_departed(self) -> None:
        """Forget the entries that are no longer members."""
        self.rates.retain_entries({item.address for item in self.members.all()})

    def _on_heartbeat(self, member: Member, heartbeat: FleetHeartbeat) -> None:
        if not heartbeat.entry:
            return
        now = self.context.clock()
        self.rates.apply_totals(
            member.address, member.incarnation, heartbeat.spent, now
        )
        if self.rates.should_request_levels(now):
            self.context.send(member.address, RateLevelsRequest())

    def _on_member_gone(self, member: Member) -> None:
        self.rates.remove_entry(member.address)

    def _on_spent(self, sender: Sender, message: TokensAdmitted) -> None:
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

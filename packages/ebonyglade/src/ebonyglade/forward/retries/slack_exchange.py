"""Asks one process of the zone for retries of the slack, or grants them."""

import logging
from dataclasses import dataclass, field

from ebonyglade.context import Context
from ebonyglade.forward.members import FleetMembers, Member, reporter_rank
from ebonyglade.forward.pending_answers import PendingAnswers
from ebonyglade.forward.presence.other_entries import OtherEntries
from ebonyglade.forward.retries.known_entries import KnownEntries
from ebonyglade.forward.retries.slack import RetrySlack
from ebonyglade.ports import Sender
from ebonyglade.wire.fleet import (
    FleetHeartbeat,
    RetryRequest,
    RetryResponse,
    RetryReturned,
)

logger = logging.getLogger(__name__)

UPDATE_INTERVAL_S = 0.2  # between two looks at the members of the zone
RESPONSE_TIMEOUT_S = 0.1  # a response takes a round trip of a few milliseconds


@dataclass(slots=True)
class SlackExchange:
    """Takes retries from the slack of the zone's entries.

    The first entry of the zone by rank grants them, with the part of the slack that is
    due to the entries of the zone that it hears.

    Attributes:
        context: transport, clock and ids.
        members: the members of the fleet.
        others: what is known of the other entries.
        known: number of entries that share the slack.
        slack: what this process grants.
    """

    context: Context
    members: FleetMembers
    others: OtherEntries
    known: KnownEntries
    slack: RetrySlack
    _pending: PendingAnswers = field(default_factory=PendingAnswers)
    _grantor: str = ""

    def start(self) -> None:
        """Register handlers, a listener and a timer."""
        self.members.heartbeat_listeners.append(self._on_heartbeat)
        self.context.handle(
            {
                RetryRequest: self._on_request,
                RetryResponse: self._on_response,
                RetryReturned: self._on_returned,
            }
        )
        self.context.every(UPDATE_INTERVAL_S, self._update)
        self._update(self.context.clock())

    async def take(self, service: str) -> bool:
        """Take one retry; False if none is left, or nobody answers."""
        if self._grantor == self.members.address:
            return self.slack.take(service, self.context.clock())
        grantor, request = self._grantor, RetryRequest(self.context.new_id(), service)
        try:
            response = await self._pending.ask(
                request.ask,
                lambda: self.context.send(grantor, request),
                RESPONSE_TIMEOUT_S,
            )
        except TimeoutError:
            self.context.count("retries_unanswered")
            logger.info("retry not answered", extra={"grantor": grantor})
            return False
        return response is not None and response.granted

    def give_back(self, service: str) -> None:
        """Return a retry that was not used."""
        if self._grantor == self.members.address:
            self.slack.give_back(service)
        else:
            self.context.send(self._grantor, RetryReturned(service))

    def _update(self, now: float) -> None:
        """Find out who grants retries, and which share is due to this process."""
        unheard = self.others.unheard_count()
        self.known.record_counted(self.members.entry_count() + unheard)
        entries = self._zone_entries(now)
        ranks = {item.address: item.capacity for item in entries if item.retries}
        ranks[self.members.address] = self.members.capacity
        self._grantor = min(ranks, key=lambda name: reporter_rank(name, ranks[name]))
        number, share = self.known.number, 0.0
        if number and self._grantor == self.members.address:
            share = min(1.0, (1 + len(entries)) / number)
            missing = self.members.live_entry_share(now) < 1.0 or unheard > 0
            share *= self.others.share(now, missing).at(now)
        self.slack.set_share(share, now)

    def _zone_entries(self, now: float) -> list[Member]:
        """Return the other live entries of the own zone."""
        zone = self.members.zone
        return [
            item for item in self.members.live(now) if item.entry and item.zone == zone
        ]

    def _on_heartbeat(self, member: Member, heartbeat: FleetHeartbeat) -> None:
        self.known.record_stated(heartbeat.entries)

    def _on_request(self, sender: Sender, message: RetryRequest) -> None:
        granted = self.slack.take(message.service, self.context.clock())
        self.context.transport.set_address(sender.instance, sender.address)
        self.context.send(sender.instance, RetryResponse(message.ask, granted))

    def _on_response(self, sender: Sender, message: RetryResponse) -> None:
        # Nobody waits for an answer that comes too late; its retry goes unused.
        self._pending.resolve(message.ask, message)

    def _on_returned(self, sender: Sender, message: RetryReturned) -> None:
        self.slack.give_back(message.service)

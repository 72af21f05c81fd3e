"""Core of an entry, without I/O; the daemon adds sockets and clocks."""

from ebonyglade.calls import Call, FilterChain, Reply
from ebonyglade.config.controller import ConfigController
from ebonyglade.config.freshness import Freshness
from ebonyglade.config.relay import Relay
from ebonyglade.context import Context
from ebonyglade.dispatch.attempts import PairAttempts
from ebonyglade.dispatch.exchange import Exchange
from ebonyglade.dispatch.filters import check_size, find_route, identify
from ebonyglade.dispatch.keys import KeyGuard
from ebonyglade.dispatch.listing import list_models
from ebonyglade.dispatch.models import ModelDispatcher
from ebonyglade.dispatch.services import ServiceDispatcher
from ebonyglade.dispatch.tickets import (
    TicketDispatcher,
    read_ticket,
    require_ticket,
)
from ebonyglade.events import Event
from ebonyglade.limits.owner import RateOwner
from ebonyglade.limits.rate_limit_filter import RateLimitFilter
from ebonyglade.limits.rate_limiter import RateLimiter
from ebonyglade.members.avoidance import Avoidance
from ebonyglade.members.health import PeerChange
from ebonyglade.members.peers import Peers
from ebonyglade.ownership.lease_times import LeaseTimes
from ebonyglade.ownership.ownership import Ownership
from ebonyglade.placement.state import PlacementState
from ebonyglade.ports import Sender
from ebonyglade.quarantine.guard import QuarantineGuard
from ebonyglade.retry.retries import Retries
from ebonyglade.wire.base import Message
from ebonyglade.wire.control import Leaving
from ebonyglade.wire.once import TicketIssued, TicketNotStarted
from ebonyglade.wire.work import (
    Chunk,
    DecodeDone,
    Failed,
    Prefilled,
    Renew,
    Reserved,
    ServiceResponse,
)

RENEWAL_INTERVAL_S = 0.5
ANSWER_MESSAGES = (
    Reserved,
    Prefilled,
    Chunk,
    DecodeDone,
    ServiceResponse,
    Failed,
    TicketIssued,
    TicketNotStarted,
)


class EntryCore:
    """Runs calls through agents; embeddable, does no I/O itself."""

    def __init__(self, context: Context, lease_times: LeaseTimes | None = None) -> None:
        self.context = context
        self.peers = Peers(context)
        self.config = ConfigController(context)
        self.relay = Relay(context, self.peers, self.config)
        self.freshness = Freshness(context, self.peers, self.config, self.relay)
        self.keys = KeyGuard(context)
        self.ownership = Ownership(
            context, self.config, lease_times or LeaseTimes(), candidate=True
        )
        self.exchange = Exchange(context.transport)
        self.placement = PlacementState(context)
        avoid = self.placement.loads.avoid
        self.avoidance = Avoidance(context, self.peers, avoid)
        common = (self.exchange, self.placement, context.clock, context.rng)
        pairs = PairAttempts(*common, context.new_id)
        self.retries = Retries(context.clock, context.rng, context.count)
        self.quarantine = QuarantineGuard(
            context.clock, self.retries.ejections, context.send
        )
        self.models = ModelDispatcher(
            pairs, self.retries, self.quarantine, context.clock
        )
        self.services = ServiceDispatcher(*common, context.new_id, self.retries)
        self.tickets = TicketDispatcher(self.services, lambda: self.config.view)
        self.rate_limiter = RateLimiter(context, self.ownership)
        self.rate_owner = RateOwner(context, self.ownership)
        self.rate_limit_filter = RateLimitFilter(
            self.rate_limiter, context.clock, lambda: self.config.view
        )
        filters = [
            self.freshness.wait_until_fresh,
            self.keys.guard,
            read_ticket,
            self.freshness.wait_until_fresh,
            self.keys.guard,
            identify,
            list_models,
            find_route,
            check_size,
            require_ticket,
            self.quarantine.filter,
            self.rate_limit_filter,
        ]
        self.run = FilterChain(filters).wrap(self._dispatch)
        self._register_handlers()

    async def _dispatch(self, call: Call) -> Reply:
        if call.prompt is not None:
            return await self.models.run(call)
        if call.wants_ticket:
            return await self.tickets.issue(call)
        if call.ticket is not None:
            return await self.tickets.run(call)
        return await self.services.run(call)

    def _register_handlers(self) -> None:
        self.context.handle(dict.fromkeys(ANSWER_MESSAGES, self.exchange.deliver))
        self.context.handle({Leaving: self._on_leaving, Failed: self._on_failed})
        self.context.handle(self.quarantine.handlers)
        self.context.events.listen(Event.PEER_CHANGED, self._on_peer_changed)
        self.context.events.listen(Event.PEER_FORGOTTEN, self._on_peer_forgotten)
        self.context.every(RENEWAL_INTERVAL_S, self._renew_attempts)

    def _on_leaving(self, sender: Sender, message: Message) -> None:
        self.avoidance.on_peer_leaving(sender)
        self.relay.on_peer_leaving(sender.instance)

    def _on_failed(self, sender: Sender, message: Failed) -> None:
        if message.code == "stopping":
            self.avoidance.on_peer_leaving(sender)
        self.exchange.deliver(sender, message)

    def _on_peer_forgotten(self, instance: str) -> None:
        self.placement.forget(instance)

    def _on_peer_changed(
        self, instance: str, change: PeerChange, incarnation: str
    ) -> None:
        handler = _PEER_HANDLERS.get(change)
        if handler is not None:
            handler(self, instance, incarnation)

    def _on_peer_lost(self, instance: str, incarnation: str) -> None:
        self.placement.forget(instance)
        self.exchange.peer_lost(instance)

    def _on_peer_restarted(self, instance: str, incarnation: str) -> None:
        self.placement.forget(instance)
        self.exchange.peer_lost(instance, incarnation)

    def _renew_attempts(self, now: float) -> None:
        by_agent: dict[str, list[str]] = {}
        for attempt in self.exchange.open_attempts.values():
            by_agent.setdefault(attempt.instance, []).append(attempt.id)
            self.peers.mark_used(attempt.instance, attempt.incarnation)
        for instance, attempts in by_agent.items():
            self.context.send(instance, Renew(attempts))


_PEER_HANDLERS = {
    PeerChange.LOST: EntryCore._on_peer_lost,
    PeerChange.RESTARTED: EntryCore._on_peer_restarted,
}

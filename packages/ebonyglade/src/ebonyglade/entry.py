"""The entry's decisions, composed; the daemon adds sockets and clocks."""

from ebonyglade.calls import Call, Chain, Reply
from ebonyglade.config.controller import ConfigController
from ebonyglade.context import Context
from ebonyglade.dispatch.attempts import PairAttempts
from ebonyglade.dispatch.exchange import Exchange
from ebonyglade.dispatch.filters import check_size, find_route, identify
from ebonyglade.dispatch.models import ModelDispatcher
from ebonyglade.dispatch.services import ServiceDispatcher
from ebonyglade.dispatch.tickets import (
    TicketDispatcher,
    read_ticket,
    require_ticket,
)
from ebonyglade.events import Event
from ebonyglade.members.health import Change
from ebonyglade.members.peers import Peers
from ebonyglade.ownership.ownership import Ownership
from ebonyglade.ownership.terms import Terms
from ebonyglade.placement.placer import Placer
from ebonyglade.ports import Sender
from ebonyglade.quarantine.guard import Guard
from ebonyglade.retry.retries import Retries
from ebonyglade.wire.base import Message
from ebonyglade.wire.control import Leaving
from ebonyglade.wire.once import Recalled, TicketGiven
from ebonyglade.wire.work import (
    Chunk,
    Done,
    Failed,
    Prefilled,
    Renew,
    Reserved,
    Served,
)

RENEW_S = 0.5
ANSWERS = (Reserved, Prefilled, Chunk, Done, Served, Failed, TicketGiven, Recalled)


class EntryCore:
    """Runs calls over agents; embeddable, without any I/O of its own."""

    def __init__(self, context: Context, terms: Terms | None = None) -> None:
        self.context = context
        self.peers = Peers(context)
        self.config = ConfigController(context)
        self.ownership = Ownership(
            context, self.config, terms or Terms(), candidate=True
        )
        self.exchange = Exchange(context.transport)
        self.placer = Placer(context)
        parts = (self.exchange, self.placer, context.clock, context.rng)
        pairs = PairAttempts(*parts, context.new_id)
        self.retries = Retries(context.clock, context.rng, context.count)
        self.guard = Guard(context.clock, self.retries.ejections, context.send)
        self.models = ModelDispatcher(pairs, self.retries, self.guard, context.clock)
        self.services = ServiceDispatcher(*parts, context.new_id, self.retries)
        self.tickets = TicketDispatcher(self.services)
        filters = [
            read_ticket,
            identify,
            find_route,
            check_size,
            require_ticket,
            self.guard.filter,
        ]
        self.run = Chain(filters).around(self._dispatch)
        self._wire()

    async def _dispatch(self, call: Call) -> Reply:
        if call.prompt is not None:
            return await self.models.run(call)
        if call.wants_ticket:
            return await self.tickets.issue(call)
        if call.ticket is not None:
            return await self.tickets.run(call)
        return await self.services.run(call)

    def _wire(self) -> None:
        self.peers.revision = lambda: self.config.store.revision
        self.peers.on_revision = self.config.heard_revision
        self.context.handle(dict.fromkeys(ANSWERS, self.exchange.deliver))
        self.context.handle({Leaving: self._on_leaving})
        self.context.handle(self.guard.handlers)
        self.context.events.listen(Event.PEER_CHANGED, self._on_peer_changed)
        self.context.every(RENEW_S, self._renew)

    def _on_leaving(self, sender: Sender, message: Message) -> None:
        self.placer.loads.avoid.add(sender.instance)

    def _on_peer_changed(self, instance: str, change: Change, incarnation: str) -> None:
        _PEER_EFFECTS[change](self, instance, incarnation)

    def _suspect(self, instance: str, incarnation: str) -> None:
        self.placer.loads.avoid.add(instance)

    def _lost(self, instance: str, incarnation: str) -> None:
        self.placer.loads.avoid.add(instance)
        self.placer.forget(instance)
        self.exchange.peer_lost(instance)

    def _back(self, instance: str, incarnation: str) -> None:
        self.placer.loads.avoid.discard(instance)

    def _restarted(self, instance: str, incarnation: str) -> None:
        self.placer.loads.avoid.discard(instance)
        self.placer.forget(instance)
        self.exchange.peer_lost(instance, incarnation)

    def _renew(self, now: float) -> None:
        by_agent: dict[str, list[str]] = {}
        for attempt in self.exchange.open_attempts.values():
            by_agent.setdefault(attempt.instance, []).append(attempt.id)
        for instance, attempts in by_agent.items():
            self.peers.watch(instance)
            self.context.send(instance, Renew(attempts))


_PEER_EFFECTS = {
    Change.SUSPECT: EntryCore._suspect,
    Change.LOST: EntryCore._lost,
    Change.BACK: EntryCore._back,
    Change.RESTARTED: EntryCore._restarted,
}

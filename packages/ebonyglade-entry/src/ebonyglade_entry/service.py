"""The entry as one service made of its parts."""

import random
import secrets

from mode import Service

from ebonyglade.calls import Call, Chain, Reply
from ebonyglade.dispatch.choice import Inflight
from ebonyglade.dispatch.exchange import Exchange
from ebonyglade.dispatch.filters import check_size, find_route, identify
from ebonyglade.dispatch.models import ModelDispatcher
from ebonyglade.dispatch.services import ServiceDispatcher
from ebonyglade.members.health import Change
from ebonyglade.ports import Sender
from ebonyglade.wire.messages import (
    Chunk,
    Done,
    Failed,
    Leaving,
    Message,
    Prefilled,
    Renew,
    Reserved,
    Served,
)
from ebonyglade_entry.server import HttpServer
from ebonyglade_entry.settings import EntrySettings
from ebonyglade_node.runtime import Node, clock
from ebonyglade_node.status import StatusServer

RENEW_S = 0.5
ATTEMPT_ID_BYTES = 12


class Entry(Service):
    """Serves callers and sends their requests to agents."""

    def __init__(self, settings: EntrySettings) -> None:
        super().__init__()
        self.node = Node(settings)
        self.exchange = Exchange(self.node.link)
        self.inflight = Inflight()
        rng = random.Random(secrets.randbits(64))
        parts = (self.exchange, self.inflight, clock, rng, _new_id)
        self._models = ModelDispatcher(*parts)
        self._services = ServiceDispatcher(*parts)
        chain = Chain([identify, find_route, check_size])
        self.http = HttpServer(settings.http, self.node, chain.around(self._dispatch))
        self.status = StatusServer(settings.status, self.node)
        self._wire()

    def on_init_dependencies(self) -> list[Service]:
        """Open the door to callers last."""
        return [self.node, self.status, self.http]

    async def on_start(self) -> None:
        """Subscribe to the timers."""
        self.node.timers.subscribe(RENEW_S, self._renew, clock())

    async def drain(self) -> None:
        """Finish what is under way before a stop."""
        await self.http.drain()

    async def _dispatch(self, call: Call) -> Reply:
        dispatcher = self._services if call.prompt is None else self._models
        return await dispatcher.run(call)

    def _wire(self) -> None:
        answers = (Reserved, Prefilled, Chunk, Done, Served, Failed)
        self.node.link.handle(dict.fromkeys(answers, self.exchange.deliver))
        self.node.link.handle({Leaving: self._on_leaving})
        self.node.link.on_change.append(self._on_change)
        self.node.metrics.gauge("open_requests", lambda: self.http.open_requests)
        self.node.metrics.gauge("dropped_answers", lambda: self.exchange.dropped)

    def _on_leaving(self, sender: Sender, message: Message) -> None:
        self.inflight.avoid.add(sender.instance)

    def _on_change(self, instance: str, change: Change, incarnation: str) -> None:
        _EFFECTS[change](self, instance, incarnation)

    def _suspect(self, instance: str, incarnation: str) -> None:
        self.inflight.avoid.add(instance)

    def _lost(self, instance: str, incarnation: str) -> None:
        self.inflight.avoid.add(instance)
        self.exchange.peer_lost(instance)

    def _back(self, instance: str, incarnation: str) -> None:
        self.inflight.avoid.discard(instance)

    def _restarted(self, instance: str, incarnation: str) -> None:
        self.inflight.avoid.discard(instance)
        self.exchange.peer_lost(instance, incarnation)

    def _renew(self, now: float) -> None:
        by_agent: dict[str, list[str]] = {}
        for attempt in self.exchange.open_attempts.values():
            by_agent.setdefault(attempt.instance, []).append(attempt.id)
        for instance, attempts in by_agent.items():
            self.node.link.send(instance, Renew(attempts))


_EFFECTS = {
    Change.SUSPECT: Entry._suspect,
    Change.LOST: Entry._lost,
    Change.BACK: Entry._back,
    Change.RESTARTED: Entry._restarted,
}


def _new_id() -> str:
    return secrets.token_hex(ATTEMPT_ID_BYTES)

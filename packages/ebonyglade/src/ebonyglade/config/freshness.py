"""Whether the configuration in force was confirmed since a start or a pause."""

import asyncio

from result import Err

from ebonyglade.calls import Call, Proceed, Reply
from ebonyglade.config.controller import ConfigController
from ebonyglade.config.relay import Relay
from ebonyglade.config.view import View
from ebonyglade.context import Context
from ebonyglade.events import Event
from ebonyglade.members.peers import Peers
from ebonyglade.verdict import refuse
from ebonyglade.wire.control import Pong

CONFIRM_S = 2.0  # longest wait for a neighbour before serving on


class Freshness:
    """Holds requests back until a neighbour knows nothing newer.

    After a start or a pause the view may be old, whatever the platform says.
    A neighbour confirms it by an answer to a heartbeat that was sent since. One
    that is itself unconfirmed does not count, but at a start, where everybody
    may be new, the answers of all neighbours together do. If none answers
    within `CONFIRM_S`, requests go on with what is known, as when the platform
    is silent.
    """

    def __init__(
        self, context: Context, peers: Peers, config: ConfigController, relay: Relay
    ) -> None:
        self._context = context
        self._peers = peers
        self._config = config
        self._relay = relay
        self._fresh = asyncio.Event()
        self._since = context.clock()
        self._first_seq = 0
        self._answered: set[str] = set()
        self._confirmed = False
        peers.on_pong = self._on_pong
        peers.stale = lambda: not self.fresh
        context.events.listen(Event.PAUSED, self._on_paused)
        context.events.listen(Event.VIEW_CHANGED, self._on_view)

    @property
    def confirmed(self) -> bool:
        """Whether a neighbour confirmed the view since the start or a pause."""
        return self._confirmed

    @property
    def fresh(self) -> bool:
        """Whether the view may be acted on."""
        if not self._fresh.is_set() and self._left() <= 0:
            self._fresh.set()
        return self._fresh.is_set()

    async def hold(self, call: Call, proceed: Proceed) -> Reply:
        """Filter: wait until the view was confirmed, and use the newest."""
        if not self.fresh:
            await self._wait()
            call.view = self._config.view
        if not self._config.ready:
            return Err(refuse("starting"))
        return await proceed(call)

    async def _wait(self) -> None:
        try:
            async with asyncio.timeout(self._left()):
                await self._fresh.wait()
        except TimeoutError:
            self._context.count("served_unconfirmed")

    def _left(self) -> float:
        return self._since + CONFIRM_S - self._context.clock()

    def _on_paused(self, seconds: float) -> None:
        self._fresh.clear()
        self._confirmed = False
        self._since = self._context.clock()
        self._first_seq = self._peers.seq + 1
        self._peers.tick(self._since)

    def _on_view(self, view: View) -> None:
        if not self._relay.parents:
            # There is nobody who could know better.
            self._fresh.set()

    def _on_pong(self, instance: str, message: Pong) -> None:
        if message.seq < self._first_seq:
            return
        if not self._config.ready or message.revision > self._config.store.revision:
            return
        first = instance not in self._answered
        self._answered.add(instance)
        if first and any(at == 0 for _, at in self._config.store.invalid()):
            # The neighbour may hold last valid values; it was just asked.
            return
        starting = self._first_seq == 0
        if not message.stale or (starting and self._all_answered()):
            self._confirmed = not message.stale
            self._fresh.set()

    def _all_answered(self) -> bool:
        return self._answered.issuperset(self._relay.parents)

"""Confirmation of the configuration in force after a start or a pause."""

import asyncio

from result import Err

from ebonyglade.calls import Call, NextHandler, Reply
from ebonyglade.config.controller import ConfigController
from ebonyglade.config.relay import Relay
from ebonyglade.config.view import ConfigView
from ebonyglade.context import Context
from ebonyglade.events import Event
from ebonyglade.members.peers import Peers
from ebonyglade.verdict import refuse
from ebonyglade.wire.control import Pong

CONFIRM_TIMEOUT_S = 2.0  # longest wait for a confirmation before requests proceed


class Freshness:
    """Delays requests until another instance confirms that the view is current.

    After a start or a pause the view may be outdated, even if it was just read
    from the platform. Another instance confirms it if its answer to a heartbeat
    sent since then reports no newer revision. The answer of
    an instance that is itself unconfirmed does not count. After a start, where
    all instances may be new, the answers of all parents together are sufficient.
    Without a confirmation within `CONFIRM_TIMEOUT_S`, requests proceed with the known
    configuration, as they do when the platform does not answer.
    """

    def __init__(
        self, context: Context, peers: Peers, config: ConfigController, relay: Relay
    ) -> None:
        self._context = context
        self._peers = peers
        self._config = config
        self._relay = relay
        self._fresh = asyncio.Event()
        self._unconfirmed_since = context.clock()
        self._first_valid_seq = 0
        self._answered: set[str] = set()
        self._confirmed = False
        peers.on_pong = self._on_pong
        peers.is_stale = lambda: not self.fresh
        context.events.listen(Event.PAUSED, self._on_paused)
        context.events.listen(Event.VIEW_CHANGED, self._on_view)

    @property
    def confirmed(self) -> bool:
        """Whether an instance that was itself confirmed has confirmed the view.

        Only confirmations since the start or the last pause count.
        """
        return self._confirmed

    @property
    def fresh(self) -> bool:
        """Whether requests may use the view."""
        if not self._fresh.is_set() and self._remaining_s() <= 0:
            self._fresh.set()
        return self._fresh.is_set()

    async def wait_until_fresh(self, call: Call, proceed: NextHandler) -> Reply:
        """Filter: wait until the view is confirmed, then use the newest view."""
        if not self.fresh:
            await self._wait()
            call.view = self._config.view
        if not self._config.ready:
            return Err(refuse("starting"))
        return await proceed(call)

    async def _wait(self) -> None:
        try:
            async with asyncio.timeout(self._remaining_s()):
                await self._fresh.wait()
        except TimeoutError:
            self._context.count("served_unconfirmed")

    def _remaining_s(self) -> float:
        return self._unconfirmed_since + CONFIRM_TIMEOUT_S - self._context.clock()

    def _on_paused(self, seconds: float) -> None:
        self._fresh.clear()
        self._confirmed = False
        self._unconfirmed_since = self._context.clock()
        self._first_valid_seq = self._peers.seq + 1
        self._peers.tick(self._unconfirmed_since)

    def _on_view(self, view: ConfigView) -> None:
        if not self._relay.parents:
            # No other instance could have a newer revision.
            self._fresh.set()

    def _on_pong(self, instance: str, message: Pong) -> None:
        if message.seq < self._first_valid_seq:
            return
        if not self._config.ready or message.revision > self._config.store.revision:
            return
        first = instance not in self._answered
        self._answered.add(instance)
        if first and any(at == 0 for _, at in self._config.store.invalid()):
            # This instance lacks last valid values and has just requested them (see
            # `Relay`). They arrive before the next answer of that instance.
            return
        starting = self._first_valid_seq == 0
        if not message.stale or (starting and self._all_answered()):
            self._confirmed = not message.stale
            self._fresh.set()

    def _all_answered(self) -> bool:
        return self._answered.issuperset(self._relay.parents)

"""Who goes first where model requests wait for room.

Requests that can still be answered on time go before those that can't. Among
them workspaces take turns by what they got lately for their rate, so that one
that sends many times its usual load waits behind the others.
"""

import asyncio
from collections import defaultdict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import TypeVar

from ebonyglade.ports import Clock

Grant = TypeVar("Grant")

HALF_LIFE_S = 4.0  # what a workspace got counts half after this time


@dataclass(slots=True, eq=False)
class Waiter:
    """One request in line.

    Attributes:
        priority: rank, where 0 is the most urgent.
        workspace: on whose behalf.
        share: what its workspace gets compared with others, such as its rate.
        tokens: what it asks for.
        on_time_until: when it must have room to be answered on time.
        order: place by arrival.
        ask: asks for room; returns it, or None.
        done: the room.
    """

    priority: int
    workspace: str
    share: float
    tokens: int
    on_time_until: float
    order: int
    ask: Callable[[], Awaitable[object | None]]
    done: asyncio.Future


@dataclass(slots=True)
class _Usage:
    """What a workspace got, fading with time."""

    got: float = 0.0
    at: float = 0.0

    def now(self, now: float) -> float:
        return self.got * 0.5 ** ((now - self.at) / HALF_LIFE_S)

    def add(self, amount: float, now: float) -> None:
        self.got, self.at = self.now(now) + amount, now


@dataclass(slots=True)
class Line:
    """Requests of one service that wait for room.

    Attributes:
        clock: seconds.
        pause_s: between two asks while there is none.
    """

    clock: Clock
    pause_s: float
    _waiting: list[Waiter] = field(default_factory=list)
    _usage: dict[str, _Usage] = field(default_factory=lambda: defaultdict(_Usage))
    _order: int = 0
    _freed: asyncio.Event = field(default_factory=asyncio.Event)
    _pump: asyncio.Task | None = None

    def __len__(self) -> int:
        return len(self._waiting)

    async def wait(
        self,
        priority: int,
        workspace: str,
        share: float,
        tokens: int,
        on_time_until: float,
        ask: Callable[[], Awaitable[Grant | None]],
    ) -> Grant:
        """Return the room that `ask` got when it was this request's turn."""
        self._order += 1
        done = asyncio.get_running_loop().create_future()
        waiter = Waiter(
            priority, workspace, share, tokens, on_time_until, self._order, ask, done
        )
        self._waiting.append(waiter)
        if self._pump is None or self._pump.done():
            self._pump = asyncio.ensure_future(self._run())
        self._freed.set()
        try:
            return await done
        finally:
            self._leave(waiter)

    def freed(self) -> None:
        """Tell that there may be room."""
        self._freed.set()

    def first(self) -> Waiter | None:
        """Return whose turn it is."""
        now = self.clock()
        return min(self._waiting, key=lambda item: self._rank(item, now), default=None)

    def _rank(self, waiter: Waiter, now: float) -> tuple:
        late = now > waiter.on_time_until
        used = self._usage[waiter.workspace].now(now) / max(waiter.share, 1.0)
        return waiter.priority, late, 0.0 if late else used, waiter.order

    async def _run(self) -> None:
        while self._waiting:
            self._freed.clear()
            if not await self._asked(self.first()):
                await self._pause()

    async def _asked(self, waiter: Waiter) -> bool:
        """Ask for the first in line; False if there is no room."""
        asking = asyncio.ensure_future(waiter.ask())
        # One that leaves does not keep the others waiting. Room that it got at
        # that moment lapses.
        waiter.done.add_done_callback(lambda _: asking.cancel())
        await asyncio.wait([asking])
        if asking.cancelled() or waiter.done.done():
            return True
        error = asking.exception()
        if error is not None:
            self._leave(waiter)
            waiter.done.set_exception(error)
            return True
        room = asking.result()
        if room is None:
            return False
        self._leave(waiter)
        self._usage[waiter.workspace].add(waiter.tokens, self.clock())
        waiter.done.set_result(room)
        return True

    def _leave(self, waiter: Waiter) -> None:
        if waiter in self._waiting:
            self._waiting.remove(waiter)

    async def _pause(self) -> None:
        try:
            async with asyncio.timeout(self.pause_s):
                await self._freed.wait()
        except TimeoutError:
            return

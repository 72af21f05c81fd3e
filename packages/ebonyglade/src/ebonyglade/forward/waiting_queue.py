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

USAGE_HALF_LIFE_S = 4.0  # what a workspace got counts half after this time


@dataclass(slots=True, eq=False)
class Waiter:
    """One request in line.

    Attributes:
        priority: rank, where 0 is the most urgent.
        workspace: on whose behalf.
        weight: what its workspace gets compared with others, such as its rate.
        tokens: what it asks for.
        on_time_until: when it must have room to be answered on time.
        arrival: place by arrival.
        try_reserve: asks for room; returns it, or None.
        done: the room.
    """

    priority: int
    workspace: str
    weight: float
    tokens: int
    reserve_by: float
    arrival: int
    try_reserve: Callable[[], Awaitable[object | None]]
    reserved: asyncio.Future


@dataclass(slots=True)
class _Usage:
    """What a workspace got, fading with time."""

    amount: float = 0.0
    at: float = 0.0

    def decayed(self, now: float) -> float:
        return self.amount * 0.5 ** ((now - self.at) / USAGE_HALF_LIFE_S)

    def add(self, amount: float, now: float) -> None:
        self.amount, self.at = self.decayed(now) + amount, now


@dataclass(slots=True)
class WaitingQueue:
    """Requests of one service that wait for room.

    Attributes:
        clock: seconds.
        pause_s: between two asks while there is none.
    """

    clock: Clock
    retry_interval_s: float
    _waiting: list[Waiter] = field(default_factory=list)
    _usage: dict[str, _Usage] = field(default_factory=lambda: defaultdict(_Usage))
    _arrivals: int = 0
    _freed: asyncio.Event = field(default_factory=asyncio.Event)
    _task: asyncio.Task | None = None

    def __len__(self) -> int:
        return len(self._waiting)

    async def wait(
        self,
        priority: int,
        workspace: str,
        weight: float,
        tokens: int,
        reserve_by: float,
        try_reserve: Callable[[], Awaitable[Grant | None]],
    ) -> Grant:
        """Return the room that `ask` got when it was this request's turn."""
        self._arrivals += 1
        reserved = asyncio.get_running_loop().create_future()
        waiter = Waiter(
            priority,
            workspace,
            weight,
            tokens,
            reserve_by,
            self._arrivals,
            try_reserve,
            reserved,
        )
        self._waiting.append(waiter)
        if self._task is None or self._task.done():
            self._task = asyncio.ensure_future(self._run())
        self._freed.set()
        try:
            return await reserved
        finally:
            self._remove(waiter)

    def notify_freed(self) -> None:
        """Tell that there may be room."""
        self._freed.set()

    def next_waiter(self) -> Waiter | None:
        """Return whose turn it is."""
        now = self.clock()
        return min(self._waiting, key=lambda item: self._rank(item, now), default=None)

    def _rank(self, waiter: Waiter, now: float) -> tuple:
        late = now > waiter.reserve_by
        used = self._usage[waiter.workspace].decayed(now) / max(waiter.weight, 1.0)
        return waiter.priority, late, 0.0 if late else used, waiter.arrival

    async def _run(self) -> None:
        while self._waiting:
            self._freed.clear()
            if not await self._try_waiter(self.next_waiter()):
                await self._wait_for_memory()

    async def _try_waiter(self, waiter: Waiter) -> bool:
        """Ask for the first in line; False if there is no room."""
        attempt = asyncio.ensure_future(waiter.try_reserve())
        # One that leaves does not keep the others waiting. Room that it got at
        # that moment lapses.
        waiter.reserved.add_done_callback(lambda _: attempt.cancel())
        await asyncio.wait([attempt])
        if attempt.cancelled() or waiter.reserved.done():
            return True
        error = attempt.exception()
        if error is not None:
            self._remove(waiter)
            waiter.reserved.set_exception(error)
            return True
        reservation = attempt.result()
        if reservation is None:
            return False
        self._remove(waiter)
        self._usage[waiter.workspace].add(waiter.tokens, self.clock())
        waiter.reserved.set_result(reservation)
        return True

    def _remove(self, waiter: Waiter) -> None:
        if waiter in self._waiting:
            self._waiting.remove(waiter)

    async def _wait_for_memory(self) -> None:
        try:
            async with asyncio.timeout(self.retry_interval_s):
                await self._freed.wait()
        except TimeoutError:
            return

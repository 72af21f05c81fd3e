"""Queue of model requests that wait for memory, fair between workspaces.

More urgent requests go first. At the same priority, requests that can still be
answered on time go before those that can't. Among the former, the workspace that
recently got the least in proportion to its rate goes first. A workspace that sends
many times its usual load thus waits behind the others.
"""

import asyncio
from collections import defaultdict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import TypeVar

from ebonyglade.ports import Clock

Grant = TypeVar("Grant")

USAGE_HALF_LIFE_S = 4.0  # usage of a workspace counts half after this time


@dataclass(slots=True, eq=False)
class Waiter:
    """One request in the queue.

    Attributes:
        priority: 0 is the most urgent.
        workspace: workspace of the request.
        weight: share of the workspace in proportion to others, such as its rate.
        tokens: memory that the request needs.
        reserve_by: latest time to reserve for an answer that is on time.
        arrival: sequence number by arrival.
        try_reserve: tries to reserve memory; returns the reservation or None.
        reserved: resolves to the reservation.
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
    """Tokens that a workspace got, with exponential decay."""

    amount: float = 0.0
    at: float = 0.0

    def decayed(self, now: float) -> float:
        return self.amount * 0.5 ** ((now - self.at) / USAGE_HALF_LIFE_S)

    def add(self, amount: float, now: float) -> None:
        self.amount, self.at = self.decayed(now) + amount, now


@dataclass(slots=True)
class WaitingQueue:
    """Requests of one service that wait for memory.

    Attributes:
        clock: seconds.
        retry_interval_s: time between two attempts to reserve.
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
        """Wait until this request is first and `try_reserve` succeeds.

        Returns:
            What `try_reserve` returned.
        """
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
        """Retry immediately, since memory may be free."""
        self._freed.set()

    def next_waiter(self) -> Waiter | None:
        """Return the request that goes first; None if none waits."""
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
        """Try to reserve for one request; False if there is no memory."""
        attempt = asyncio.ensure_future(waiter.try_reserve())
        # The attempt of a request that leaves the queue is cancelled, so that it
        # does not block the others. Memory granted at that moment expires.
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

"""The line before a prefill engine, in weighted fair order."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from ebonyglade.ports import Clock
from ebonyglade.verdict import Refusal, refuse
from ebonyglade.worker.fair import FairQueue, Waiting
from ebonyglade.worker.predict import Average


class TurnRefused(Exception):
    """A prefill lost its place in the line before it started."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal


@dataclass(slots=True)
class PrefillLine:
    """Lets a few prefills run at once; the others wait in fair order.

    Attributes:
        slots: most prefills at once.
        queue: those that wait.
        clock: monotonic seconds.
        token_s: seconds of prefill for each token that is not cached.
    """

    slots: int
    queue: FairQueue
    clock: Clock
    token_s: Average = field(default_factory=Average)
    _running: dict[str, tuple[float, float]] = field(default_factory=dict)
    _turns: dict[str, asyncio.Future] = field(default_factory=dict)

    @property
    def running(self) -> int:
        """Prefills under way."""
        return len(self._running)

    def ready_in(self) -> float:
        """Return the predicted seconds until one more prefill would start."""
        if len(self._running) < self.slots and not len(self.queue):
            return 0.0
        now = self.clock()
        tokens = self.queue.tokens()
        left = tokens * self.token_s.value / self.slots
        for began, size in self._running.values():
            seconds = size * self.token_s.value - (now - began)
            left += max(0.0, seconds) / self.slots
        return left

    @asynccontextmanager
    async def turn(self, item: Waiting) -> AsyncIterator[None]:
        """Wait for a turn and hold it.

        Raises:
            TurnRefused: the line is full or the turn would come too late.
        """
        await self._wait(item)
        try:
            yield
        finally:
            self._running.pop(item.id, None)
            self._next()

    def observe(self, item: Waiting, fresh: int) -> None:
        """Learn the speed from a prefill that ended."""
        began, _ = self._running[item.id]
        self.token_s.observe((self.clock() - began) / max(1, fresh))

    async def _wait(self, item: Waiting) -> None:
        now = self.clock()
        ready = self.ready_in()
        if now + ready > item.latest:
            raise TurnRefused(refuse("deadline_infeasible", retry_after=ready))
        self._turns[item.id] = asyncio.get_running_loop().create_future()
        dropped = self.queue.add(item)
        if dropped is not None:
            refusal = refuse("overloaded", retry_after=ready)
            if not self._turns[dropped.id].done():
                self._turns[dropped.id].set_exception(TurnRefused(refusal))
        self._next()
        try:
            await self._turns[item.id]
        except BaseException:
            self.queue.remove(item.id)
            if self._running.pop(item.id, None) is not None:
                self._next()
            raise
        finally:
            del self._turns[item.id]

    def _next(self) -> None:
        now = self.clock()
        while len(self._running) < self.slots:
            items = self.queue.waiting(now)
            item = next((item for item in items if now <= item.latest), None)
            if item is None:
                return
            if self._turns[item.id].done():
                # Its task was cancelled and has not run since.
                self.queue.remove(item.id)
                continue
            self.queue.grant(item.id, now)
            self._running[item.id] = (now, item.tokens)
            self._turns[item.id].set_result(None)

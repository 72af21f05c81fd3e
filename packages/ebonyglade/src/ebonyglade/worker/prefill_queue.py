"""Queue in front of a prefill engine, in weighted fair order."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from ebonyglade.averages import MovingAverage
from ebonyglade.ports import Clock
from ebonyglade.verdict import Refusal, refuse
from ebonyglade.worker.fair_queue import FairQueue, QueueItem


class PrefillRefused(Exception):
    """A prefill was refused before it started."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal


@dataclass(slots=True)
class PrefillQueue:
    """Runs a limited number of prefills at once; the others wait in fair order.

    Attributes:
        slots: maximum number of prefills at once.
        queue: prefills that wait.
        clock: monotonic seconds.
        token_s: seconds of prefill for each token that is not cached.
    """

    slots: int
    queue: FairQueue
    clock: Clock
    token_s: MovingAverage = field(default_factory=MovingAverage)
    _running: dict[str, tuple[float, float]] = field(default_factory=dict)
    _waiters: dict[str, asyncio.Future] = field(default_factory=dict)

    @property
    def running(self) -> int:
        """Number of running prefills."""
        return len(self._running)

    def ready_in(self) -> float:
        """Return the predicted seconds until one more prefill would start."""
        if len(self._running) < self.slots and not len(self.queue):
            return 0.0
        now = self.clock()
        tokens = self.queue.tokens()
        wait_s = tokens * self.token_s.value / self.slots
        for started_at, size in self._running.values():
            remaining_s = size * self.token_s.value - (now - started_at)
            wait_s += max(0.0, remaining_s) / self.slots
        return wait_s

    @asynccontextmanager
    async def slot(self, item: QueueItem) -> AsyncIterator[None]:
        """Wait for one of the prefill slots and hold it.

        Raises:
            PrefillRefused: the queue is full or the slot would be free too late.
        """
        await self._wait(item)
        try:
            yield
        finally:
            self._running.pop(item.id, None)
            self._start_next()

    def observe(self, item: QueueItem, uncached_tokens: int) -> None:
        """Update the prefill speed from a prefill that ended."""
        started_at, _ = self._running[item.id]
        self.token_s.observe((self.clock() - started_at) / max(1, uncached_tokens))

    async def _wait(self, item: QueueItem) -> None:
        now = self.clock()
        wait_s = self.ready_in()
        if now + wait_s > item.latest_start:
            raise PrefillRefused(refuse("deadline_infeasible", retry_after=wait_s))
        self._waiters[item.id] = asyncio.get_running_loop().create_future()
        dropped = self.queue.add(item)
        if dropped is not None:
            refusal = refuse("overloaded", retry_after=wait_s)
            if not self._waiters[dropped.id].done():
                self._waiters[dropped.id].set_exception(PrefillRefused(refusal))
        self._start_next()
        try:
            await self._waiters[item.id]
        except BaseException:
            self.queue.remove(item.id)
            if self._running.pop(item.id, None) is not None:
                self._start_next()
            raise
        finally:
            del self._waiters[item.id]

    def _start_next(self) -> None:
        now = self.clock()
        while len(self._running) < self.slots:
            items = self.queue.in_order(now)
            item = next((item for item in items if now <= item.latest_start), None)
            if item is None:
                return
            if self._waiters[item.id].done():
                # Its task was cancelled but has not run since to remove the item.
                self.queue.remove(item.id)
                continue
            self.queue.dequeue(item.id, now)
            self._running[item.id] = (now, item.tokens)
            self._waiters[item.id].set_result(None)

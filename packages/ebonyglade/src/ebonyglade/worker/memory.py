"""What the engine beside an agent holds, and how all of it is freed.

A job holds engine memory from its start until the engine ends it or confirms
its cancellation; a cancellation is tried until it is confirmed. What the engine
holds beside that was left by an earlier process, or by an order that overtook
another; it is cancelled unless an entry claims it within one lease term.
"""

import asyncio
from collections.abc import Callable, Container, Iterable

from ebonyglade.invariants import Invariants
from ebonyglade.ports import Clock, Engine, EngineError

ASK_S = 0.5  # between two questions what the engine holds
CALL_TIMEOUT_S = 2.0  # of one cancellation or question


class EngineMemory:
    """Jobs that may hold memory of one engine.

    Without an engine, as beside a plain service, nothing is ever held.
    """

    def __init__(
        self,
        engine: Engine | None,
        clock: Clock,
        term: float,
        invariants: Invariants | None = None,
    ) -> None:
        self._engine = engine
        self._clock = clock
        self._term = term
        self._invariants = invariants or Invariants()
        self._running: set[str] = set()
        self._cancelling: dict[str, Callable[[], None] | None] = {}
        self._unclaimed: dict[str, float] = {}
        self._calls: dict[str, asyncio.Task] = {}
        self._next_question = clock()

    @property
    def cancelling(self) -> int:
        """Jobs whose cancellation the engine has not confirmed."""
        return len(self._cancelling)

    @property
    def unclaimed(self) -> int:
        """Jobs and exports that end unless an entry claims them."""
        return len(self._unclaimed)

    def began(self, job: str) -> None:
        """Note that the engine may hold memory for a job from now on."""
        self._running.add(job)

    def ended(self, job: str) -> None:
        """Note that the engine ended a job by itself, or never took it."""
        self._running.discard(job)

    def exported(self, job: str) -> None:
        """Note that a job became an export, which is kept for one term."""
        self._running.discard(job)
        self._unclaimed[job] = self._clock() + self._term

    def cancel(self, job: str) -> None:
        """Cancel a job until the engine confirms it. Idempotent."""
        if self._engine is None:
            return
        self._running.discard(job)
        self._unclaimed.pop(job, None)
        self._cancelling.setdefault(job, None)
        self._call(job, self._cancel(job))

    def failed(self, job: str, error: BaseException) -> None:
        """Cancel a job that failed, unless the engine never took it."""
        if isinstance(error, EngineError) and not error.ran:
            self.ended(job)
        else:
            self.cancel(job)

    def when_free(self, job: str, action: Callable[[], None]) -> None:
        """Act once no cancellation of a job is open; at once if none is."""
        if job in self._cancelling:
            self._cancelling[job] = action
        else:
            action()

    def renewed(self, jobs: Iterable[str]) -> None:
        """Note that an entry claims jobs, also of an earlier process."""
        if not self._unclaimed:
            return
        expires = self._clock() + self._term
        for job in jobs:
            if job in self._unclaimed:
                self._unclaimed[job] = expires

    def tick(self, now: float, leases: Container[str]) -> None:
        """Try open cancellations again and ask what the engine holds.

        Args:
            now: monotonic seconds.
            leases: attempts whose leases are in force.
        """
        if self._engine is None:
            return
        for job in self._running:
            self._invariants.require(job in leases, "engine_memory_is_leased", job)
        for job in list(self._cancelling):
            self._call(job, self._cancel(job))
        if now >= self._next_question:
            self._next_question = now + ASK_S
            self._call("", self._ask())

    def _call(self, name: str, work: object) -> None:
        """Run one call to the engine, unless the same is still under way."""
        if name in self._calls:
            work.close()
            return
        task = asyncio.ensure_future(work)
        self._calls[name] = task
        task.add_done_callback(lambda task: self._called(name, work))

    def _called(self, name: str, work: object) -> None:
        # A task that is cancelled before its first step never enters its work.
        work.close()
        self._calls.pop(name, None)

    async def _cancel(self, job: str) -> None:
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                await self._engine.cancel(job)
        except (TimeoutError, EngineError):
            return
        action = self._cancelling.pop(job, None)
        if action is not None:
            action()

    async def _ask(self) -> None:
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                held = await self._engine.held()
        except (TimeoutError, EngineError):
            return
        self._judge(held)

    def _judge(self, held: list[str]) -> None:
        """Cancel what the engine holds for nobody."""
        now = self._clock()
        known = self._unclaimed
        self._unclaimed = {
            job: known.get(job, now + self._term)
            for job in held
            if job not in self._running and job not in self._cancelling
        }
        for job, expires in list(self._unclaimed.items()):
            if expires <= now:
                self.cancel(job)

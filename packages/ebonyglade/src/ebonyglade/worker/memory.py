"""Jobs and exports that hold memory of the engine beside an agent, and their release.

A job holds engine memory from its start until the engine ends it or confirms
its cancellation; a cancellation is retried until it is confirmed. Other jobs that
the engine holds were left by an earlier process of the agent, or their
cancellation reached the engine before their start. They are cancelled unless an
entry claims them within one lease term.
"""

import asyncio
from collections.abc import Callable, Container, Iterable

from ebonyglade.invariants import Invariants
from ebonyglade.ports import Clock, Engine, EngineError

HELD_POLL_S = 0.5  # between two queries of what the engine holds
CALL_TIMEOUT_S = 2.0  # of one cancellation or query


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
        self._pending_calls: dict[str, asyncio.Task] = {}
        self._next_poll = clock()

    @property
    def cancelling(self) -> int:
        """Number of jobs whose cancellation the engine has not confirmed."""
        return len(self._cancelling)

    @property
    def unclaimed(self) -> int:
        """Number of jobs and exports that are cancelled unless an entry claims them."""
        return len(self._unclaimed)

    def job_started(self, job: str) -> None:
        """Record that the engine may hold memory for a job from now on."""
        self._running.add(job)

    def job_ended(self, job: str) -> None:
        """Record that the engine ended a job by itself, or never accepted it."""
        self._running.discard(job)

    def job_exported(self, job: str) -> None:
        """Record that a job became an export, which is kept for one lease term."""
        self._running.discard(job)
        self._unclaimed[job] = self._clock() + self._term

    def cancel(self, job: str) -> None:
        """Cancel a job and retry until the engine confirms it. Idempotent."""
        if self._engine is None:
            return
        self._running.discard(job)
        self._unclaimed.pop(job, None)
        self._cancelling.setdefault(job, None)
        self._start_call(job, self._cancel(job))

    def job_failed(self, job: str, error: BaseException) -> None:
        """Cancel a job that failed, unless the engine never accepted it."""
        if isinstance(error, EngineError) and not error.may_have_run:
            self.job_ended(job)
        else:
            self.cancel(job)

    def when_free(self, job: str, action: Callable[[], None]) -> None:
        """Call `action` when the cancellation of a job is confirmed.

        Without a pending cancellation it is called at once.
        """
        if job in self._cancelling:
            self._cancelling[job] = action
        else:
            action()

    def renew_claims(self, jobs: Iterable[str]) -> None:
        """Extend the time of unclaimed jobs and exports that an entry claims."""
        if not self._unclaimed:
            return
        expires = self._clock() + self._term
        for job in jobs:
            if job in self._unclaimed:
                self._unclaimed[job] = expires

    def tick(self, now: float, leases: Container[str]) -> None:
        """Retry pending cancellations and query what the engine holds.

        Args:
            now: monotonic seconds.
            leases: attempts whose leases are in force.
        """
        if self._engine is None:
            return
        for job in self._running:
            self._invariants.require(job in leases, "engine_memory_is_leased", job)
        for job in list(self._cancelling):
            self._start_call(job, self._cancel(job))
        if now >= self._next_poll:
            self._next_poll = now + HELD_POLL_S
            self._start_call("", self._query_held())

    def _start_call(self, name: str, coroutine: object) -> None:
        """Start a call to the engine, unless one of the same name is still running."""
        if name in self._pending_calls:
            coroutine.close()
            return
        task = asyncio.ensure_future(coroutine)
        self._pending_calls[name] = task
        task.add_done_callback(lambda task: self._call_done(name, coroutine))

    def _call_done(self, name: str, coroutine: object) -> None:
        # A task cancelled before its first step never runs its coroutine, which
        # must then be closed here.
        coroutine.close()
        self._pending_calls.pop(name, None)

    async def _cancel(self, job: str) -> None:
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                await self._engine.cancel(job)
        except (TimeoutError, EngineError):
            return
        action = self._cancelling.pop(job, None)
        if action is not None:
            action()

    async def _query_held(self) -> None:
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                held = await self._engine.held()
        except (TimeoutError, EngineError):
            return
        self._cancel_unclaimed(held)

    def _cancel_unclaimed(self, held: list[str]) -> None:
        """Cancel held jobs that no entry has claimed within one lease term."""
        now = self._clock()
        previous = self._unclaimed
        self._unclaimed = {
            job: previous.get(job, now + self._term)
            for job in held
            if job not in self._running and job not in self._cancelling
        }
        for job, expires in list(self._unclaimed.items()):
            if expires <= now:
                self.cancel(job)

"""Decides after each failed attempt whether the entry retries the request."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from ebonyglade.config.documents import Route
from ebonyglade.ports import Clock
from ebonyglade.retry.budget import RetryBudget
from ebonyglade.retry.ejection import Ejections
from ebonyglade.retry.table import Delivered, RequestKind, RetryAction, action_of
from ebonyglade.verdict import Refusal, Verdict, combine_verdicts

MAX_ATTEMPTS = 4
BASE_PAUSE_S = 0.02
MAX_PAUSE_S = 1.0
# Time that must be left before the deadline after the pause; with less a retry can't
# succeed.
MIN_LEFT_S = 0.05

# Failures that are caused by the endpoint rather than by the request.
_EJECTION_CODES = frozenset({"endpoint_down", "agent_lost"})
# Refusals whose `retry_after` is the end of the next ejection.
_WAIT_CODES = frozenset({"endpoint_down", "no_endpoint"})


@dataclass(slots=True)
class RetryState:
    """Retry state of one request.

    Attributes:
        pool: pool of endpoints that serves it.
        kind: whether it may be repeated.
        deadline: monotonic seconds by which it must be answered.
        patient: whether it waits until its deadline rather than being refused.
        attempts: number of attempts so far.
        resumed: whether its stream was resumed at another endpoint before.
        verdict: worst verdict of all attempts.
    """

    pool: str
    kind: RequestKind
    deadline: float
    patient: bool = False
    attempts: int = 0
    resumed: bool = False
    verdict: Verdict = Verdict.NOT_RUN


@dataclass(slots=True)
class Retries:
    """Retry budgets, ejected endpoints and backoff of one entry."""

    clock: Clock
    rng: random.Random
    count: Callable[..., None]
    new_budget: Callable[[], RetryBudget] = RetryBudget
    ejections: Ejections = field(default_factory=Ejections)
    totals: Counter[str] = field(default_factory=Counter)
    _budgets: dict[str, RetryBudget] = field(default_factory=dict)

    def begin(self, route: Route, kind: RequestKind, deadline: float) -> RetryState:
        """Count a new request and return its retry state."""
        self._budget(route.pool).add_request(self.clock())
        self._increment("requests")
        return RetryState(route.pool, kind, deadline, route.patient)

    def record_attempt(self, state: RetryState) -> None:
        """Count an attempt."""
        state.attempts += 1
        self._increment("attempts")

    def undo_attempt(self, state: RetryState) -> None:
        """Uncount an attempt that found no endpoint and sent nothing."""
        state.attempts -= 1
        self.totals["attempts"] -= 1

    def ejected(self) -> set[str]:
        """Return the agents that failed recently, used only if no others are left."""
        return self.ejections.active(self.clock())

    async def wait_to_retry(
        self,
        state: RetryState,
        refusal: Refusal,
        names: Iterable[str] = (),
        reached: Delivered = Delivered.NOTHING,
    ) -> bool:
        """Wait until the next attempt may start; return False if there is none.

        Args:
            state: retry state of the request; its verdict is updated.
            refusal: how the last attempt failed.
            names: agents that caused the failure.
            reached: whether the caller has received a part of the answer.
        """
        state.verdict = combine_verdicts(state.verdict, refusal.verdict)
        if refusal.code in _EJECTION_CODES:
            for name in names:
                self.ejections.record_failure(name, self.clock())
        action = action_of(refusal, state.kind, reached, state.patient)
        if action is RetryAction.GIVE_UP:
            return False
        if state.attempts >= MAX_ATTEMPTS and not state.patient:
            return False
        pause = min(MAX_PAUSE_S, BASE_PAUSE_S * 2 ** min(state.attempts, 10))
        while state.deadline - self.clock() > pause + MIN_LEFT_S:
            if self._take_from_budget(state, action):
                await asyncio.sleep(pause * self.rng.uniform(0.5, 1.0))
                return True
            self._increment("over_budget")
            if not state.patient:
                return False
            pause = MAX_PAUSE_S
            await asyncio.sleep(pause * self.rng.uniform(0.5, 1.0))
        return False

    def _take_from_budget(self, state: RetryState, action: RetryAction) -> bool:
        """Take one retry from the budget; return whether it was allowed.

        The first resumption of a stream is free, so that retries of other requests
        can't cause a stream to be cut off.
        """
        if action is RetryAction.RESUME and not state.resumed:
            state.resumed = True
            return True
        return self._budget(state.pool).spend(self.clock())

    def final_refusal(self, state: RetryState, refusal: Refusal) -> Refusal:
        """Return the refusal for the caller, whose verdict covers all attempts."""
        verdict = combine_verdicts(state.verdict, refusal.verdict)
        wait = self.ejections.time_to_next_return(self.clock())
        if refusal.code in _WAIT_CODES and wait is not None:
            return refusal.with_changes(verdict=verdict, retry_after=wait)
        return refusal.with_changes(verdict=verdict)

    def _budget(self, pool: str) -> RetryBudget:
        if pool not in self._budgets:
            self._budgets[pool] = self.new_budget()
        return self._budgets[pool]

    def _increment(self, name: str) -> None:
        self.totals[name] += 1
        self.count(f"retry_{name}")

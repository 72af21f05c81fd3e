"""Decides after each failed attempt of an entry: again, elsewhere, or not."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from ebonyglade.config.published import Route
from ebonyglade.ports import Clock
from ebonyglade.retry.budget import RetryBudget
from ebonyglade.retry.ejection import Ejections
from ebonyglade.retry.table import Action, Kind, Reached, action_of
from ebonyglade.verdict import Refusal, Verdict, worst

MAX_ATTEMPTS = 4
BASE_PAUSE_S = 0.02
MAX_PAUSE_S = 1.0
MIN_LEFT_S = 0.05  # of the deadline, below which a retry can't help

# Failures that tell of the endpoint rather than of the request.
_EJECTING = frozenset({"endpoint_down", "agent_lost"})
# Refusals after which a new try makes sense once an endpoint is tried again.
_WAITS = frozenset({"endpoint_down", "no_endpoint"})


@dataclass(slots=True)
class Tries:
    """The attempts of one request.

    Attributes:
        pool: pool of endpoints that serves it.
        kind: whether it may be repeated.
        deadline: monotonic seconds by which it must be answered.
        patient: whether its caller waits rather than be refused.
        attempts: attempts so far.
        resumed: whether its stream went on elsewhere before.
        verdict: the worst of all attempts.
    """

    pool: str
    kind: Kind
    deadline: float
    patient: bool = False
    attempts: int = 0
    resumed: bool = False
    verdict: Verdict = Verdict.NOT_RUN


@dataclass(slots=True)
class Retries:
    """Budgets, ejected endpoints and pauses of one entry."""

    clock: Clock
    rng: random.Random
    count: Callable[..., None]
    new_budget: Callable[[], RetryBudget] = RetryBudget
    ejections: Ejections = field(default_factory=Ejections)
    totals: Counter[str] = field(default_factory=Counter)
    _budgets: dict[str, RetryBudget] = field(default_factory=dict)

    def begin(self, route: Route, kind: Kind, deadline: float) -> Tries:
        """Note a request and return its tries."""
        self._budget(route.pool).earn(self.clock())
        self._note("requests")
        return Tries(route.pool, kind, deadline, route.patient)

    def attempt(self, tries: Tries) -> None:
        """Note an attempt."""
        tries.attempts += 1
        self._note("attempts")

    def unsent(self, tries: Tries) -> None:
        """Take back an attempt that found no endpoint to send to."""
        tries.attempts -= 1
        self.totals["attempts"] -= 1

    def ejected(self) -> set[str]:
        """Return the agents that get no first choice now."""
        return self.ejections.active(self.clock())

    async def again(
        self,
        tries: Tries,
        refusal: Refusal,
        names: Iterable[str] = (),
        reached: Reached = Reached.NOTHING,
    ) -> bool:
        """Wait for the next attempt; False at once if there is none.

        Args:
            tries: the attempts of the request; its verdict is brought up to date.
            refusal: how the last attempt failed.
            names: agents that failed it.
            reached: what the caller has of the answer.
        """
        tries.verdict = worst(tries.verdict, refusal.verdict)
        if refusal.code in _EJECTING:
            for name in names:
                self.ejections.failed(name, self.clock())
        action = action_of(refusal, tries.kind, reached, tries.patient)
        if action is Action.GIVE_UP:
            return False
        if tries.attempts >= MAX_ATTEMPTS and not tries.patient:
            return False
        pause = min(MAX_PAUSE_S, BASE_PAUSE_S * 2 ** min(tries.attempts, 10))
        while tries.deadline - self.clock() > pause + MIN_LEFT_S:
            if self._paid(tries, action):
                await asyncio.sleep(pause * self.rng.uniform(0.5, 1.0))
                return True
            self._note("over_budget")
            if not tries.patient:
                return False
            pause = MAX_PAUSE_S
            await asyncio.sleep(pause * self.rng.uniform(0.5, 1.0))
        return False

    def _paid(self, tries: Tries, action: Action) -> bool:
        """Return whether the budget allows an attempt.

        A stream under way goes on once for what its request paid, and is not given
        up because others need retries.
        """
        if action is Action.RESUME and not tries.resumed:
            tries.resumed = True
            return True
        return self._budget(tries.pool).spend(self.clock())

    def final(self, tries: Tries, refusal: Refusal) -> Refusal:
        """Return the refusal that the caller gets, true over all attempts."""
        verdict = worst(tries.verdict, refusal.verdict)
        wait = self.ejections.wait(self.clock())
        if refusal.code in _WAITS and wait is not None:
            return refusal.because(verdict=verdict, retry_after=wait)
        return refusal.because(verdict=verdict)

    def _budget(self, pool: str) -> RetryBudget:
        if pool not in self._budgets:
            self._budgets[pool] = self.new_budget()
        return self._budgets[pool]

    def _note(self, name: str) -> None:
        self.totals[name] += 1
        self.count(f"retry_{name}")

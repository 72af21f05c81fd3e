"""Decides after each failed attempt of an entry: again, elsewhere, or not."""

import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

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
        attempts: attempts so far.
        verdict: the worst of all attempts.
    """

    pool: str
    kind: Kind
    deadline: float
    attempts: int = 0
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

    def begin(self, pool: str, kind: Kind, deadline: float) -> Tries:
        """Note a request and return its tries."""
        self._budget(pool).earn()
        self._note("requests")
        return Tries(pool, kind, deadline)

    def attempt(self, tries: Tries) -> None:
        """Note an attempt."""
        tries.attempts += 1
        self._note("attempts")

    def after(
        self,
        tries: Tries,
        refusal: Refusal,
        names: Iterable[str] = (),
        reached: Reached = Reached.NOTHING,
    ) -> Action:
        """Return what to do after a failed attempt.

        Args:
            tries: the attempts of the request; its verdict is brought up to date.
            refusal: how the attempt failed.
            names: agents that failed it.
            reached: what the caller has of the answer.
        """
        tries.verdict = worst(tries.verdict, refusal.verdict)
        now = self.clock()
        if refusal.code in _EJECTING:
            for name in names:
                self.ejections.failed(name, now)
        action = action_of(refusal, tries.kind, reached)
        if action is Action.GIVE_UP or tries.attempts >= MAX_ATTEMPTS:
            return Action.GIVE_UP
        if tries.deadline - now < MIN_LEFT_S:
            return Action.GIVE_UP
        # A stream under way was paid for by its request and is not given up
        # because others need retries; only attempts at a first token are.
        if action is Action.RETRY and not self._budget(tries.pool).spend():
            self._note("retries_over_budget")
            return Action.GIVE_UP
        return action

    def pause(self, tries: Tries) -> float:
        """Return the seconds to wait before the next attempt."""
        longest = min(MAX_PAUSE_S, BASE_PAUSE_S * 2 ** (tries.attempts - 1))
        left = tries.deadline - self.clock() - MIN_LEFT_S
        return max(0.0, min(longest * self.rng.uniform(0.5, 1.0), left))

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

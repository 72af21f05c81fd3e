"""Tokens of one workspace that an entry was granted, and the requests that wait."""

import asyncio
import math
from collections import deque
from dataclasses import dataclass, field

from ebonyglade.invariants import Invariants
from ebonyglade.limits.bucket import TOLERANCE
from ebonyglade.wire.limits import AccountReport, WaitEstimate

HELD_DEMAND_S = 0.5  # seconds of average demand for which free tokens are kept
DEMAND_AVERAGE_S = 2.0  # time constant of the average of demand


@dataclass(eq=False, slots=True)
class Waiter:
    """A request that waits for tokens.

    Attributes:
        cost: tokens that it needs.
        latest: monotonic seconds until which it can wait.
        urgent: whether it has started and so goes ahead of those that have not.
        outcome: set to the reservation or the refusal.
        first_ask_seq: number of the first ask that included it; 0 before.
        checked: whether it was checked against the owner's estimate.
    """

    cost: float
    latest: float
    urgent: bool
    outcome: asyncio.Future
    first_ask_seq: int = 0
    checked: bool = False


@dataclass(eq=False, slots=True)
class TokenReservation:
    """Tokens reserved for one request; what it does not spend is released."""

    local_tokens: "LocalTokens"
    account: int
    left: float

    def spend(self, tokens: float) -> None:
        """Count reserved tokens as spent."""
        tokens = min(tokens, self.left)
        self.left -= tokens
        self.local_tokens.spend(self.account, tokens)

    def settle(self) -> None:
        """Release the unspent tokens. Idempotent."""
        left, self.left = self.left, 0.0
        self.local_tokens.unreserve(self.account, left)


@dataclass(eq=False, slots=True)
class LocalTokens:
    """Tokens of one workspace granted to this entry, valid until `valid_until`.

    Attributes:
        workspace: "<team>/<workspace>".
        group: its group.
        account: number of the account at the owner.
        invariants: checks that no more is spent than was granted.
        valid_until: monotonic seconds.
        waiters: requests that wait, urgent ones first.
        unreported: whether there are changes not yet reported to the owner.
        answered_at: when the owner last answered.
        outlook: the owner's estimate of waiting in that answer.
        recalled: whether the owner asked for unused tokens in its last grant.
    """

    workspace: str
    group: int
    account: int
    invariants: Invariants
    valid_until: float = -math.inf
    waiters: deque[Waiter] = field(default_factory=deque)
    unreported: bool = False
    answered_at: float = -math.inf
    outlook: WaitEstimate | None = None
    recalled: bool = False
    _granted: float = 0.0
    _spent: float = 0.0
    _returned: float = 0.0
    _reserved: float = 0.0
    _demand: float = 0.0
    _new_demand: float = 0.0
    _demand_at: float = -math.inf

    @property
    def free(self) -> float:
        """Tokens that may be reserved while the grant is valid."""
        return self._granted - self._spent - self._returned - self._reserved

    @property
    def idle(self) -> bool:
        """Whether there is no state that would be lost by dropping this object."""
        unused = not (self.waiters or self.unreported or self._reserved > TOLERANCE)
        return unused and self.free <= TOLERANCE and self._demand < 1e-3

    def expired(self, now: float) -> bool:
        """Return whether tokens were granted and have expired."""
        return self._granted > 0 and now >= self.valid_until

    def reset(self, account: int) -> None:
        """Give up all granted tokens and open another account."""
        self.account = account
        self._granted = self._spent = self._returned = self._reserved = 0.0
        self.valid_until = -math.inf
        self.unreported = bool(self.waiters)

    def note_demand(self, tokens: float) -> None:
        """Add a request to the average of demand."""
        self._new_demand += tokens

    def reserve(self, cost: float, now: float) -> TokenReservation | None:
        """Reserve tokens if enough valid ones are free; return None otherwise."""
        if now >= self.valid_until or self.free < cost - TOLERANCE:
            return None
        cost = min(cost, max(0.0, self.free))
        self._reserved += cost
        self.unreported = True
        self._check_within_grant()
        return TokenReservation(self, self.account, cost)

    def spend(self, account: int, tokens: float) -> None:
        """Count reserved tokens of an account as spent."""
        if account == self.account:
            self._reserved -= tokens
            self._spent += tokens
            self.unreported = True
            self._check_within_grant()

    def unreserve(self, account: int, tokens: float) -> None:
        """Release reserved tokens; those of a former account were given up with it."""
        if account == self.account and tokens:
            self._reserved -= tokens
            self.unreported = True
            self._check_within_grant()

    def note_granted(self, total: float, valid_until: float) -> None:
        """Apply the owner's sum of grants; older messages change nothing."""
        self._granted = max(self._granted, total)
        self.valid_until = max(self.valid_until, valid_until)

    def return_unused(self, now: float) -> None:
        """Give back tokens that neither waiting nor expected requests need."""
        self._update_demand(now)
        # Return tokens only if more than twice the amount to keep is free, and then
        # down to that amount.
        keep = 0.0 if self.recalled else 2 * self._demand * HELD_DEMAND_S
        if self.waiters or self.free <= keep + TOLERANCE:
            return
        self._returned += self.free - keep / 2
        self.unreported = True
        self._check_within_grant()

    def enqueue(self, waiter: Waiter) -> None:
        """Add a request behind the others of the same urgency."""
        position = len(self.waiters)
        if waiter.urgent:
            position = sum(1 for other in self.waiters if other.urgent)
        self.waiters.insert(position, waiter)
        self.unreported = True

    def remove(self, waiter: Waiter) -> None:
        """Remove a request that no longer waits."""
        if waiter in self.waiters:
            self.waiters.remove(waiter)
            self.unreported = True

    def expected_waits(self) -> list[tuple[Waiter, float]]:
        """Return the waiting requests and the seconds that each is expected to wait."""
        waits = []
        needed = -max(0.0, self.free)
        for waiter in self.waiters:
            needed += waiter.cost
            waits.append((waiter, self.expected_wait(needed)))
        return waits

    def expected_wait(self, tokens: float) -> float:
        """Return the seconds until `tokens` more are granted; 0 if not known."""
        return 0.0 if self.outlook is None else self.outlook.wait(max(0.0, tokens))

    def report_line(self) -> AccountReport:
        """Return the report to the owner."""
        queued = sum(waiter.cost for waiter in self.waiters)
        free = max(0.0, self.free)
        keep = 0.0 if self.recalled else self._demand * HELD_DEMAND_S
        return AccountReport(
            self.workspace,
            self.account,
            self._granted,
            self._spent,
            self._returned,
            max(0.0, self.waiters[0].cost - free) if self.waiters else 0.0,
            max(0.0, queued - free),
            max(0.0, keep - max(0.0, free - queued)),
            bool(self.waiters) and self.waiters[0].urgent,
        )

    def _update_demand(self, now: float) -> None:
        elapsed = now - self._demand_at
        if elapsed == math.inf:
            self._demand_at = now
            return
        decay = math.exp(-elapsed / DEMAND_AVERAGE_S)
        rate = self._new_demand / elapsed if elapsed > 0 else 0.0
        self._demand = self._demand * decay + rate * (1 - decay)
        self._demand_at, self._new_demand = now, 0.0

    def _check_within_grant(self) -> None:
        used = self._spent + self._reserved + self._returned
        self.invariants.require(
            used <= self._granted + 10 * TOLERANCE and self._reserved > -TOLERANCE,
            "rate_spent_within_grant",
            f"{self.workspace}: {used} of {self._granted}",
        )

"""An entry's rights of one workspace and the requests that wait for more."""

import asyncio
import math
from collections import deque
from dataclasses import dataclass, field

from ebonyglade.invariants import Invariants
from ebonyglade.limits.bucket import TOLERANCE
from ebonyglade.wire.limits import AccountLine, Outlook

HOLD_S = 0.5  # of recent demand that is held for requests to come
DEMAND_S = 2.0  # over which demand is averaged


@dataclass(eq=False, slots=True)
class Waiter:
    """A request that waits for tokens.

    Attributes:
        cost: tokens that it needs.
        latest: monotonic seconds after which tokens are of no use to it.
        urgent: whether it goes before those that have not started.
        granted: set to the reservation or the refusal.
        asked: number of the first ask that counted it; 0 before.
        judged: whether it was checked against the owner's estimate.
    """

    cost: float
    latest: float
    urgent: bool
    granted: asyncio.Future
    asked: int = 0
    judged: bool = False


@dataclass(eq=False, slots=True)
class Reservation:
    """Tokens set aside for one request, of which some are spent in the end."""

    wallet: "Wallet"
    account: int
    left: float

    def spend(self, tokens: float) -> None:
        """Count tokens as spent for good."""
        tokens = min(tokens, self.left)
        self.left -= tokens
        self.wallet.spend(self.account, tokens)

    def settle(self) -> None:
        """Free what was not spent. Idempotent."""
        left, self.left = self.left, 0.0
        self.wallet.unreserve(self.account, left)


@dataclass(eq=False, slots=True)
class Wallet:
    """Rights of one workspace, valid until `valid_until`.

    Attributes:
        workspace: "<team>/<workspace>".
        group: its group.
        account: number of the account at the owner.
        invariants: checks that no more is spent than was granted.
        valid_until: monotonic seconds.
        waiters: requests that wait, urgent ones first.
        dirty: whether the owner does not know of all changes.
        heard: when the owner answered last.
        outlook: what the owner said of waiting then.
    """

    workspace: str
    group: int
    account: int
    invariants: Invariants
    valid_until: float = -math.inf
    waiters: deque[Waiter] = field(default_factory=deque)
    dirty: bool = False
    heard: float = -math.inf
    outlook: Outlook | None = None
    recalled: bool = False
    _granted: float = 0.0
    _spent: float = 0.0
    _returned: float = 0.0
    _reserved: float = 0.0
    _demand: float = 0.0
    _asked_for: float = 0.0
    _measured: float = -math.inf

    @property
    def free(self) -> float:
        """Tokens that may be reserved while the rights are valid."""
        return self._granted - self._spent - self._returned - self._reserved

    @property
    def idle(self) -> bool:
        """Whether nothing would be lost by forgetting the wallet."""
        quiet = not (self.waiters or self.dirty or self._reserved > TOLERANCE)
        return quiet and self.free <= TOLERANCE and self._demand < 1e-3

    def expired(self, now: float) -> bool:
        """Return whether there are rights and they have lapsed."""
        return self._granted > 0 and now >= self.valid_until

    def reset(self, account: int) -> None:
        """Give all rights up and open another account."""
        self.account = account
        self._granted = self._spent = self._returned = self._reserved = 0.0
        self.valid_until = -math.inf
        self.dirty = bool(self.waiters)

    def wish(self, tokens: float) -> None:
        """Note that a request came, for the average of demand."""
        self._asked_for += tokens

    def take(self, cost: float, now: float) -> Reservation | None:
        """Set tokens aside if there are enough valid rights."""
        if now >= self.valid_until or self.free < cost - TOLERANCE:
            return None
        cost = min(cost, max(0.0, self.free))
        self._reserved += cost
        self.dirty = True
        self._check()
        return Reservation(self, self.account, cost)

    def spend(self, account: int, tokens: float) -> None:
        """Move reserved tokens of an account to the spent ones."""
        if account == self.account:
            self._reserved -= tokens
            self._spent += tokens
            self.dirty = True
            self._check()

    def unreserve(self, account: int, tokens: float) -> None:
        """Free reserved tokens of an account; lapsed ones stay lost."""
        if account == self.account and tokens:
            self._reserved -= tokens
            self.dirty = True
            self._check()

    def granted(self, total: float, valid_until: float) -> None:
        """Take the owner's sum of grants; older messages change nothing."""
        self._granted = max(self._granted, total)
        self.valid_until = max(self.valid_until, valid_until)

    def give_back(self, now: float) -> None:
        """Return what neither waiting nor expected requests need."""
        self._measure(now)
        keep = 0.0 if self.recalled else 2 * self._demand * HOLD_S
        if self.waiters or self.free <= keep + TOLERANCE:
            return
        self._returned += self.free - keep / 2
        self.dirty = True
        self._check()

    def enqueue(self, waiter: Waiter) -> None:
        """Add a request behind the others of its urgency."""
        place = len(self.waiters)
        if waiter.urgent:
            place = sum(1 for other in self.waiters if other.urgent)
        self.waiters.insert(place, waiter)
        self.dirty = True

    def leave(self, waiter: Waiter) -> None:
        """Remove a request that waits no longer."""
        if waiter in self.waiters:
            self.waiters.remove(waiter)
            self.dirty = True

    def waits(self) -> list[tuple[Waiter, float]]:
        """Return the waiting requests with the seconds that each has to wait."""
        found = []
        lacking = -max(0.0, self.free)
        for waiter in self.waiters:
            lacking += waiter.cost
            found.append((waiter, self.wait(lacking)))
        return found

    def wait(self, tokens: float) -> float:
        """Return the seconds until more tokens are granted; 0 if not known."""
        return 0.0 if self.outlook is None else self.outlook.wait(max(0.0, tokens))

    def line(self) -> AccountLine:
        """Return the report to the owner."""
        queued = sum(waiter.cost for waiter in self.waiters)
        free = max(0.0, self.free)
        keep = 0.0 if self.recalled else self._demand * HOLD_S
        return AccountLine(
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

    def _measure(self, now: float) -> None:
        past = now - self._measured
        if past == math.inf:
            self._measured = now
            return
        kept = math.exp(-past / DEMAND_S)
        rate = self._asked_for / past if past > 0 else 0.0
        self._demand = self._demand * kept + rate * (1 - kept)
        self._measured, self._asked_for = now, 0.0

    def _check(self) -> None:
        used = self._spent + self._reserved + self._returned
        self.invariants.require(
            used <= self._granted + 10 * TOLERANCE and self._reserved > -TOLERANCE,
            "rate_spent_within_grant",
            f"{self.workspace}: {used} of {self._granted}",
        )

"""A workspace's token bucket at its owner, with the rights it lent out."""

from collections import deque
from dataclasses import dataclass, field

from ebonyglade.invariants import Invariants
from ebonyglade.wire.limits import AccountLine, GrantLine, Outlook

TOLERANCE = 1e-6  # tokens
SWEEP_S = 0.5  # between two looks for lapsed accounts
SPARE_SHARE = 0.5  # most of the level that is lent without a waiting request

EntryKey = tuple[str, str]
"""Instance id and incarnation of an entry."""


@dataclass(slots=True)
class Account:
    """Rights that one entry holds of one workspace.

    Attributes:
        number: chosen by the entry; a higher one replaces a lower one.
        granted: tokens granted so far.
        spent: tokens that the entry reported as spent.
        returned: tokens that the entry gave back.
        void_at: monotonic seconds after which unspent rights have lapsed.
        seq: newest ask of the entry.
        arrived: when that ask arrived.
        need: tokens that its first waiting request lacks.
        queued: tokens that all its waiting requests lack.
        spare: further tokens that it wishes for.
        known: grants that it knew of when it said so.
        urgent: whether it waits for a request that has started already.
    """

    number: int
    granted: float = 0.0
    spent: float = 0.0
    returned: float = 0.0
    void_at: float = 0.0
    seq: int = 0
    arrived: float = 0.0
    need: float = 0.0
    queued: float = 0.0
    spare: float = 0.0
    known: float = 0.0
    urgent: bool = False

    @property
    def outstanding(self) -> float:
        """Tokens that the entry may still spend."""
        return self.granted - self.spent - self.returned

    def lack(self, wished: float) -> float:
        """Return what is left of a wish after later grants."""
        return max(0.0, wished - (self.granted - self.known))


@dataclass(slots=True)
class Bucket:
    """Level and accounts of one workspace.

    Level and outstanding rights together never exceed the burst, so that what
    entries hold back can't add to what accrues later.

    Attributes:
        rate: tokens that accrue a second.
        burst: most tokens of level and outstanding rights together.
        at: monotonic seconds up to which tokens have accrued.
        level: tokens that can be granted.
        invariants: checks the sum at each change.
    """

    rate: float
    burst: float
    at: float
    level: float
    invariants: Invariants
    _accounts: dict[EntryKey, Account] = field(default_factory=dict)
    _closed: dict[EntryKey, int] = field(default_factory=dict)
    _queue: deque[EntryKey] = field(default_factory=deque)
    _outstanding: float = 0.0
    _queued: float = 0.0
    _swept: float = 0.0

    @property
    def outstanding(self) -> float:
        """Tokens that entries may still spend."""
        return self._outstanding

    @property
    def waiting(self) -> bool:
        """Whether an entry waits for a grant."""
        return bool(self._queue)

    @property
    def accounts(self) -> dict[EntryKey, Account]:
        """Open accounts by entry."""
        return self._accounts

    def change(self, rate: float, burst: float, now: float) -> None:
        """Take another rate and burst from now on."""
        self.refill(now)
        self.rate, self.burst = rate, burst
        self._clamp()

    def refill(self, now: float) -> None:
        """Let tokens accrue up to now and close lapsed accounts."""
        self.level += self.rate * max(0.0, now - self.at)
        self.at = max(self.at, now)
        self._clamp()
        if now >= self._swept + SWEEP_S:
            self._swept = now
            over = [key for key, item in self._accounts.items() if now > item.void_at]
            for key in over:
                self._close(key)

    def report(
        self, key: EntryKey, seq: int, line: AccountLine, void_at: float
    ) -> Account | None:
        """Take an entry's report; None if its account is closed.

        Args:
            key: the entry.
            seq: number of its message.
            line: the report.
            void_at: monotonic seconds after which the entry's rights lapse if
                this is the last that it hears.
        """
        account = self._account(key, line)
        if account is None:
            return None
        before = account.outstanding
        returned = max(0.0, line.returned - account.returned)
        account.spent = max(account.spent, line.spent)
        account.returned += returned
        account.void_at = max(account.void_at, void_at)
        self._outstanding += account.outstanding - before
        self.level += returned
        self._clamp()
        if seq > account.seq:
            account.seq, account.arrived = seq, self.at
            account.need, account.spare = line.need, line.spare
            account.known = line.granted
            self._set_urgent(key, account, line.urgent)
            self._wait(account, line.queued)
        self._enqueue(key, account)
        return account

    def serve(self) -> list[EntryKey]:
        """Grant what the level allows, in turn; return who got something."""
        served = []
        while self._queue:
            account = self._accounts[self._queue[0]]
            need = account.lack(account.need)
            if need > self.level + TOLERANCE:
                break
            served.append(self._queue.popleft())
            self._grant(account, need)
        return served

    def lend_spare(self, account: Account) -> None:
        """Lend an entry what it wishes for requests to come."""
        wished = account.lack(account.queued + account.spare)
        if not self._queue and wished > TOLERANCE:
            self._grant(account, min(wished, self.level * SPARE_SHARE))

    def line(self, workspace: str, account: Account) -> GrantLine:
        """Return what an entry is told about its account."""
        return GrantLine(
            workspace,
            account.number,
            account.granted,
            self._outlook(account) if self._queue else None,
            bool(self._queue) or self._outstanding > self.burst,
        )

    def _outlook(self, account: Account) -> Outlook:
        waits = account.queued > 0
        return Outlook(
            self.rate,
            self.level,
            max(0.0, self._queued - account.queued),
            max(0, len(self._queue) - waits),
        )

    def _account(self, key: EntryKey, line: AccountLine) -> Account | None:
        account = self._accounts.get(key)
        if account is not None and account.number >= line.account:
            return account if account.number == line.account else None
        if self._closed.get(key, -1) >= line.account or line.granted > 0:
            return None
        if account is not None:
            # The entry gave its former account up before it opened a new one.
            self._close(key)
        self._accounts[key] = Account(line.account)
        return self._accounts[key]

    def _close(self, key: EntryKey) -> None:
        """Count what an account has not spent as spent."""
        account = self._accounts.pop(key)
        self._closed[key] = account.number
        self._outstanding -= account.outstanding
        self._wait(account, 0.0)
        if key in self._queue:
            self._queue.remove(key)

    def _set_urgent(self, key: EntryKey, account: Account, urgent: bool) -> None:
        if account.urgent is not urgent and key in self._queue:
            # It is queued again at the place of its urgency.
            self._queue.remove(key)
        account.urgent = urgent

    def _enqueue(self, key: EntryKey, account: Account) -> None:
        """Queue an entry that waits, behind the others of its urgency.

        A request that has started needs little. Behind prompts of other entries it
        would wait for its deadline with an answer that is made already.
        """
        waits = account.lack(account.need) > TOLERANCE
        if waits and key not in self._queue:
            place = len(self._queue)
            if account.urgent:
                place = sum(self._accounts[other].urgent for other in self._queue)
            self._queue.insert(place, key)
        if not waits and key in self._queue:
            self._queue.remove(key)

    def _wait(self, account: Account, queued: float) -> None:
        self._queued += queued - account.queued
        account.queued = queued

    def _grant(self, account: Account, tokens: float) -> None:
        self.invariants.require(
            tokens <= self.level + 2 * TOLERANCE,
            "rate_granted_from_level",
            f"{tokens} of {self.level}",
        )
        account.granted += tokens
        self._outstanding += tokens
        self.level = max(0.0, self.level - tokens)
        self._wait(account, max(0.0, account.queued - tokens))
        account.need = max(0.0, account.need - tokens)
        account.known += tokens
        self._check()

    def _clamp(self) -> None:
        self.level = max(0.0, min(self.level, self.burst - self._outstanding))
        self._check()

    def _check(self) -> None:
        whole = self.level + self._outstanding
        # After the burst was lowered, nothing accrues until rights come back.
        self.invariants.require(
            self.level == 0.0 or whole <= self.burst + 10 * TOLERANCE,
            "rate_conserved",
            f"{self.level} + {self._outstanding} > {self.burst}",
        )

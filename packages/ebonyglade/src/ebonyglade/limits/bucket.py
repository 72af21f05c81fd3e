"""Token bucket of one workspace, kept by its owner, with the grants to entries."""

from collections import deque
from dataclasses import dataclass, field

from ebonyglade.invariants import Invariants
from ebonyglade.wire.limits import AccountGrant, AccountReport, WaitEstimate

TOLERANCE = 1e-6  # tokens
SWEEP_INTERVAL_S = 0.5  # between two checks for expired accounts
MAX_SPARE_SHARE = 0.5  # largest share of the level granted at once for requests to come

EntryKey = tuple[str, str]
"""Instance id and incarnation of an entry."""


@dataclass(slots=True)
class Account:
    """Tokens of one workspace that were granted to one entry.

    Attributes:
        number: chosen by the entry; a higher one replaces a lower one.
        granted: tokens granted so far.
        spent: tokens that the entry reported as spent.
        returned: tokens that the entry returned unspent.
        expires_at: monotonic seconds after which unspent tokens have expired.
        seq: sequence number of the newest ask from the entry.
        asked_at: monotonic seconds when that ask arrived.
        need: tokens that the first waiting request of the entry still needs.
        queued: tokens that all its waiting requests still need.
        spare: further tokens that it asks for, for requests to come.
        known_granted: sum of grants that `need` and `queued` account for: those that
            the entry knew of when it sent that ask, and later ones.
        urgent: whether its first waiting request has already started.
    """

    number: int
    granted: float = 0.0
    spent: float = 0.0
    returned: float = 0.0
    expires_at: float = 0.0
    seq: int = 0
    asked_at: float = 0.0
    need: float = 0.0
    queued: float = 0.0
    spare: float = 0.0
    known_granted: float = 0.0
    urgent: bool = False

    @property
    def outstanding(self) -> float:
        """Tokens that the entry may still spend."""
        return self.granted - self.spent - self.returned

    def still_needed(self, wanted: float) -> float:
        """Return the part of a reported need not covered by later grants."""
        return max(0.0, wanted - (self.granted - self.known_granted))


@dataclass(slots=True)
class Bucket:
    """Level of the bucket and the accounts of all entries.

    The level and the outstanding tokens together never exceed the burst, so that
    unspent tokens at entries can't be added to tokens that accrue later.

    Attributes:
        rate: tokens that accrue a second.
        burst: upper limit of the level and the outstanding tokens together.
        accrued_until: monotonic seconds up to which tokens have accrued.
        level: tokens that can be granted.
        invariants: checks the sum at each change.
    """

    rate: float
    burst: float
    accrued_until: float
    level: float
    invariants: Invariants
    _accounts: dict[EntryKey, Account] = field(default_factory=dict)
    _closed: dict[EntryKey, int] = field(default_factory=dict)
    _queue: deque[EntryKey] = field(default_factory=deque)
    _outstanding: float = 0.0
    _queued: float = 0.0
    _swept_at: float = 0.0

    @property
    def outstanding(self) -> float:
        """Tokens that entries may still spend."""
        return self._outstanding

    @property
    def waiting(self) -> bool:
        """Whether any entry waits for a grant."""
        return bool(self._queue)

    @property
    def accounts(self) -> dict[EntryKey, Account]:
        """Open accounts by entry."""
        return self._accounts

    def set_rate(self, rate: float, burst: float, now: float) -> None:
        """Apply another rate and burst from now on."""
        self.refill(now)
        self.rate, self.burst = rate, burst
        self._clamp()

    def refill(self, now: float) -> None:
        """Let tokens accrue up to now and close expired accounts."""
        self.level += self.rate * max(0.0, now - self.accrued_until)
        self.accrued_until = max(self.accrued_until, now)
        self._clamp()
        if now >= self._swept_at + SWEEP_INTERVAL_S:
            self._swept_at = now
            expired = [
                key for key, item in self._accounts.items() if now > item.expires_at
            ]
            for key in expired:
                self._close(key)

    def record_report(
        self, key: EntryKey, seq: int, line: AccountReport, expires_at: float
    ) -> Account | None:
        """Apply an entry's report; return its account, or None if that is closed.

        Args:
            key: the entry.
            seq: sequence number of its message.
            line: the report.
            expires_at: monotonic seconds after which the entry's tokens expire if
                the answer to this report is the last that it receives.
        """
        account = self._account(key, line)
        if account is None:
            return None
        before = account.outstanding
        returned = max(0.0, line.returned - account.returned)
        account.spent = max(account.spent, line.spent)
        account.returned += returned
        account.expires_at = max(account.expires_at, expires_at)
        self._outstanding += account.outstanding - before
        self.level += returned
        self._clamp()
        if seq > account.seq:
            account.seq, account.asked_at = seq, self.accrued_until
            account.need, account.spare = line.need, line.spare
            account.known_granted = line.granted
            self._set_urgent(key, account, line.urgent)
            self._set_queued(account, line.queued)
        self._enqueue(key, account)
        return account

    def grant_waiting(self) -> list[EntryKey]:
        """Grant to waiting entries in turn, as the level allows; return them."""
        served = []
        while self._queue:
            account = self._accounts[self._queue[0]]
            need = account.still_needed(account.need)
            if need > self.level + TOLERANCE:
                break
            served.append(self._queue.popleft())
            self._grant(account, need)
        return served

    def grant_spare(self, account: Account) -> None:
        """Grant an entry spare tokens for requests to come, if no entry waits."""
        wanted = account.still_needed(account.queued + account.spare)
        if not self._queue and wanted > TOLERANCE:
            self._grant(account, min(wanted, self.level * MAX_SPARE_SHARE))

    def grant_line(self, workspace: str, account: Account) -> AccountGrant:
        """Return the message part that tells an entry the state of its account."""
        return AccountGrant(
            workspace,
            account.number,
            account.granted,
            self._outlook(account) if self._queue else None,
            bool(self._queue) or self._outstanding > self.burst,
        )

    def _outlook(self, account: Account) -> WaitEstimate:
        waits = account.queued > 0
        return WaitEstimate(
            self.rate,
            self.level,
            max(0.0, self._queued - account.queued),
            max(0, len(self._queue) - waits),
        )

    def _account(self, key: EntryKey, line: AccountReport) -> Account | None:
        account = self._accounts.get(key)
        if account is not None and account.number >= line.account:
            return account if account.number == line.account else None
        # An account that already has grants was opened under another lease or is
        # closed.
        if self._closed.get(key, -1) >= line.account or line.granted > 0:
            return None
        if account is not None:
            # The entry gave up its former account before it opened a new one.
            self._close(key)
        self._accounts[key] = Account(line.account)
        return self._accounts[key]

    def _close(self, key: EntryKey) -> None:
        """Close an account; tokens that were not reported as spent count as spent."""
        account = self._accounts.pop(key)
        self._closed[key] = account.number
        self._outstanding -= account.outstanding
        self._set_queued(account, 0.0)
        if key in self._queue:
            self._queue.remove(key)

    def _set_urgent(self, key: EntryKey, account: Account, urgent: bool) -> None:
        if account.urgent is not urgent and key in self._queue:
            # `_enqueue` adds it again at the position for its new urgency.
            self._queue.remove(key)
        account.urgent = urgent

    def _enqueue(self, key: EntryKey, account: Account) -> None:
        """Queue an entry that waits; remove one that no longer does.

        It is added behind the other entries of the same urgency.

        A request that has started needs few tokens. Queued behind prompts of other
        entries, it could wait until its deadline although its answer has already
        been generated.
        """
        waits = account.still_needed(account.need) > TOLERANCE
        if waits and key not in self._queue:
            position = len(self._queue)
            if account.urgent:
                position = sum(self._accounts[other].urgent for other in self._queue)
            self._queue.insert(position, key)
        if not waits and key in self._queue:
            self._queue.remove(key)

    def _set_queued(self, account: Account, queued: float) -> None:
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
        self._set_queued(account, max(0.0, account.queued - tokens))
        account.need = max(0.0, account.need - tokens)
        account.known_granted += tokens
        self._check()

    def _clamp(self) -> None:
        self.level = max(0.0, min(self.level, self.burst - self._outstanding))
        self._check()

    def _check(self) -> None:
        total = self.level + self._outstanding
        # After the burst was lowered, nothing accrues until enough outstanding tokens
        # are spent or returned.
        self.invariants.require(
            self.level == 0.0 or total <= self.burst + 10 * TOLERANCE,
            "rate_conserved",
            f"{self.level} + {self._outstanding} > {self.burst}",
        )

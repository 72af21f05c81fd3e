"""Workspaces' rates over all entries, without an owner.

Each entry keeps a bucket for the whole fleet. It takes from it what it admits
itself, and what the others say that they admitted. What others admitted and
have not told yet is the error: at most what they admit between two beats.

A process that starts while others run asks one of them for the levels of their
buckets. Until it knows them, or where all have started anew, it begins with a part
of what the bound leaves above the rates in use: what its predecessor spent counts
in the same window and nobody may remember it.

Of an entry that fell silent nothing is known: it may have ended, or it may serve
on behind a partition. Until it is forgotten or known to have ended it counts as
spending its equal part of the rate, so two halves of a fleet together admit what
the whole may.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from ebonyglade.forward.types import Workspace
from ebonyglade.wire.fleet import RateLevel

SILENT_AFTER_S = 1.0  # after its last beat an entry counts as spending its part
# Part of what the bound leaves above the rates in use that a process begins with
# when others may have spent; the rest covers what entries admit between two beats.
INITIAL_HEADROOM_SHARE = 0.5
LEVELS_REQUEST_INTERVAL_S = 0.2  # between two asks for the levels of others
# After this time without an answer nobody is asked any more: a bucket that is kept
# for so long is right whatever it began with.
LEVELS_WAIT_S = 10.0
# Parts of the published overage and slack that the bucket uses. The rest covers
# what entries admit between two beats.
USED_OVERAGE_SHARE = 0.95
USED_SLACK_SHARE = 0.85


@dataclass(frozen=True, slots=True)
class RateTerms:
    """What the platform grants above a workspace's rate and burst.

    Attributes:
        overage: part of rate and burst that may be exceeded.
        slack: tokens, besides, in any window.
        first_start: whether the whole fleet starts now, so that nobody can have
            spent anything.
    """

    overage: float = 0.0
    slack: float = 0.0
    first_start: bool = False

    def rate(self, workspace: Workspace) -> float:
        """Return the tokens a second that a bucket gets."""
        return workspace.rate * (1 + USED_OVERAGE_SHARE * self.overage)

    def burst(self, workspace: Workspace) -> float:
        """Return the tokens that a bucket holds."""
        burst_with_overage = workspace.burst * (1 + USED_OVERAGE_SHARE * self.overage)
        return burst_with_overage + USED_SLACK_SHARE * self.slack

    def initial_level(self, workspace: Workspace) -> float:
        """Return the tokens of a bucket whose past is not known."""
        burst_with_overage = workspace.burst * (1 - USED_OVERAGE_SHARE) * self.overage
        return INITIAL_HEADROOM_SHARE * (
            burst_with_overage + (1 - USED_SLACK_SHARE) * self.slack
        )


@dataclass(slots=True)
class _Bucket:
    """Tokens left of one workspace; negative where too much was admitted."""

    level: float
    at: float


@dataclass(slots=True)
class _OtherEntry:
    """What another entry admitted.

    Attributes:
        incarnation: of the process that the totals are of.
        spent: by workspace, since its start.
        last_heard: when it last told.
        assumed: what it was taken to have spent since, by workspace.
    """

    incarnation: str
    spent: dict[str, float]
    last_heard: float
    assumed_spent: dict[str, float] = field(default_factory=dict)


def _no_workspace(name: str) -> Workspace | None:
    return None


@dataclass(slots=True)
class FleetRates:
    """Buckets of all workspaces, as this entry sees them.

    Attributes:
        terms: what is granted above rates and bursts.
        started_at: when this process started.
        find_workspace: returns a workspace by its name; None if there is none.
    """

    terms: RateTerms = RateTerms()
    started_at: float = 0.0
    find_workspace: Callable[[str], Workspace | None] = _no_workspace
    _adopted: bool = False
    _requested_at: float = float("-inf")
    _buckets: dict[str, _Bucket] = field(default_factory=dict)
    _others: dict[str, _OtherEntry] = field(default_factory=dict)
    _spent: dict[str, float] = field(default_factory=dict)

    @property
    def spent(self) -> dict[str, float]:
        """Tokens that this entry admitted since its start, by workspace."""
        return self._spent

    def level(self, workspace: str) -> float:
        """Return the tokens left of a workspace when it was last asked for."""
        bucket = self._buckets.get(workspace)
        return round(bucket.level, 1) if bucket else 0.0

    def history_known(self, now: float) -> bool:
        """Return whether the past of the buckets is known."""
        return (
            self.terms.first_start
            or self._adopted
            or now - self.started_at > LEVELS_WAIT_S
        )

    def should_request_levels(self, now: float) -> bool:
        """Return whether to ask another entry for its levels now."""
        if (
            self.history_known(now)
            or now - self._requested_at < LEVELS_REQUEST_INTERVAL_S
        ):
            return False
        self._requested_at = now
        return True

    def levels(self, entry: str, now: float) -> list[RateLevel]:
        """Return the buckets that are not full, for an entry that started.

        Args:
            entry: the entry that asks.
            now: seconds.
        """
        other = self._others.get(entry)
        counted = other.spent if other is not None else {}
        found = []
        for name in self._buckets:
            workspace = self.find_workspace(name)
            if workspace is None or workspace.rate <= 0:
                continue
            level = self._bucket(workspace, now).level
            if level < self.terms.burst(workspace):
                found.append(RateLevel(name, level, counted.get(name, 0.0)))
        return found

    def adopt_levels(self, levels: list[RateLevel], now: float) -> bool:
        """Begin with the levels that another entry told; all others are full.

        Returns:
            Whether they were adopted; the first answer to an ask is.
        """
        if self.history_known(now):
            return False
        self._adopted = True
        self._buckets.clear()
        for told in levels:
            not_counted = max(0.0, self._spent.get(told.workspace, 0.0) - told.counted)
            self._buckets[told.workspace] = _Bucket(told.level - not_counted, now)
        return True

    def take(self, workspace: Workspace, cost: float, now: float) -> float:
        """Take a request's tokens.

        Returns:
            Zero if the request is admitted; else the seconds until the tokens
            that it lacks will have come.
        """
        if workspace.rate <= 0:
            return 0.0
        bucket = self._bucket(workspace, now)
        # A request above the burst needs a full bucket and leaves a debt.
        missing = min(cost, self.terms.burst(workspace)) - bucket.level
        if missing > 0:
            return max(missing / self.terms.rate(workspace), 0.001)
        self._charge(workspace.name, cost)
        return 0.0

    def refund(self, workspace: Workspace, cost: float) -> None:
        """Give back the tokens of a request that did not run."""
        if workspace.rate > 0:
            self._charge(workspace.name, -cost)

    def update_totals(
        self, entry: str, incarnation: str, spent: dict[str, float], now: float
    ) -> None:
        """Take what another entry admitted, as it tells."""
        other = self._others.get(entry)
        if other is None:
            # What it admitted before this process knew it is not charged.
            other = self._others[entry] = _OtherEntry(incarnation, dict(spent), now)
        elif other.incarnation != incarnation:
            other = self._others[entry] = _OtherEntry(incarnation, {}, now)
        for name, total in spent.items():
            self._apply_total(other, name, total, now)
        other.last_heard = now
        other.assumed_spent.clear()

    def update_total(
        self,
        entry: str,
        incarnation: str,
        workspace: str,
        total: float,
        now: float,
    ) -> None:
        """Take what another entry admitted of one workspace, ahead of its beat."""
        other = self._others.get(entry)
        if other is not None and other.incarnation == incarnation:
            self._apply_total(other, workspace, total, now)

    def remove_entry(self, entry: str) -> None:
        """Forget an entry that ended."""
        self._others.pop(entry, None)

    def retain_entries(self, entries: set[str]) -> None:
        """Forget all other entries that are not among `entries`."""
        for entry in set(self._others) - entries:
            del self._others[entry]

    def _apply_total(
        self, other: _OtherEntry, name: str, total: float, now: float
    ) -> None:
        increase = total - other.spent.get(name, 0.0)
        other.spent[name] = total
        workspace = self.find_workspace(name)
        if increase and workspace is not None and workspace.rate > 0:
            # A bucket that nobody asked for here is kept for what others spend.
            self._bucket(workspace, now)
        bucket = self._buckets.get(name)
        if bucket is not None:
            bucket.level -= increase - other.assumed_spent.pop(name, 0.0)

    def _charge(self, name: str, cost: float) -> None:
        self._buckets[name].level -= cost
        self._spent[name] = self._spent.get(name, 0.0) + cost

    def _new_bucket(self, workspace: Workspace, now: float) -> _Bucket:
        """Return a bucket that nothing was spent from since this process started."""
        rate, burst = self.terms.rate(workspace), self.terms.burst(workspace)
        if self.terms.first_start or self._adopted:
            return _Bucket(burst, now)
        since = max(0.0, now - self.started_at)
        return _Bucket(
            min(burst, self.terms.initial_level(workspace) + rate * since), now
        )

    def _bucket(self, workspace: Workspace, now: float) -> _Bucket:
        rate, burst = self.terms.rate(workspace), self.terms.burst(workspace)
        bucket = self._buckets.get(workspace.name)
        if bucket is None:
            bucket = self._buckets[workspace.name] = self._new_bucket(workspace, now)
        elapsed = max(0.0, now - bucket.at)
        bucket.at = now
        equal_share = rate / (1 + len(self._others))
        bucket.level += rate * elapsed
        for other in self._others.values():
            if now - other.last_heard > SILENT_AFTER_S:
                assumed_cost = equal_share * elapsed
                bucket.level -= assumed_cost
                known = other.assumed_spent.get(workspace.name, 0.0)
                other.assumed_spent[workspace.name] = known + assumed_cost
        bucket.level = min(bucket.level, burst)
        return bucket

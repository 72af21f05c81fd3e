"""Workspaces' rates over all entries, without an owner.

Each entry keeps a bucket for the whole fleet. It takes from it what it admits
itself, and what the others say that they admitted. What others admitted and
have not told yet is the error: at most what they admit between two beats.

Of an entry that fell silent nothing is known: it may have ended, or it may serve
on behind a partition. Until it is forgotten or known to have ended it counts as
spending its equal part of the rate, so two halves of a fleet together admit what
the whole may.
"""

from dataclasses import dataclass, field

from ebonyglade.forward.types import Workspace

SILENT_S = 1.0  # after its last beat an entry counts as spending its part
# Part of the burst that a process starts with, when others may have spent.
START_PART = 0.5
# Parts of the published overage and slack that the bucket uses. The rest covers
# what entries admit between two beats.
USED_OVERAGE = 0.95
USED_SLACK = 0.85


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
        return workspace.rate * (1 + USED_OVERAGE * self.overage)

    def burst(self, workspace: Workspace) -> float:
        """Return the tokens that a bucket holds."""
        over = workspace.burst * (1 + USED_OVERAGE * self.overage)
        return over + USED_SLACK * self.slack


@dataclass(slots=True)
class _Bucket:
    """Tokens left of one workspace; negative where too much was admitted."""

    level: float
    at: float


@dataclass(slots=True)
class _Other:
    """What another entry admitted.

    Attributes:
        incarnation: of the process that the totals are of.
        spent: by workspace, since its start.
        heard: when it last told.
        assumed: what it was taken to have spent since, by workspace.
    """

    incarnation: str
    spent: dict[str, float]
    heard: float
    assumed: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class FleetRates:
    """Buckets of all workspaces, as this entry sees them."""

    terms: RateTerms = RateTerms()
    _buckets: dict[str, _Bucket] = field(default_factory=dict)
    _others: dict[str, _Other] = field(default_factory=dict)
    _spent: dict[str, float] = field(default_factory=dict)

    @property
    def spent(self) -> dict[str, float]:
        """Tokens that this entry admitted since its start, by workspace."""
        return self._spent

    def level(self, workspace: str) -> float:
        """Return the tokens left of a workspace when it was last asked for."""
        bucket = self._buckets.get(workspace)
        return round(bucket.level, 1) if bucket else 0.0

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

    def heard(
        self, entry: str, incarnation: str, spent: dict[str, float], now: float
    ) -> None:
        """Take what another entry admitted, as it tells."""
        other = self._others.get(entry)
        if other is None:
            # What it admitted before this process knew it is not charged.
            other = self._others[entry] = _Other(incarnation, dict(spent), now)
        elif other.incarnation != incarnation:
            other = self._others[entry] = _Other(incarnation, {}, now)
        for name, total in spent.items():
            self._note(other, name, total)
        other.heard = now
        other.assumed.clear()

    def heard_one(
        self, entry: str, incarnation: str, workspace: str, total: float
    ) -> None:
        """Take what another entry admitted of one workspace, ahead of its beat."""
        other = self._others.get(entry)
        if other is not None and other.incarnation == incarnation:
            self._note(other, workspace, total)

    def gone(self, entry: str) -> None:
        """Forget an entry that ended."""
        self._others.pop(entry, None)

    def keep(self, entries: set[str]) -> None:
        """Forget all other entries that are not among `entries`."""
        for entry in set(self._others) - entries:
            del self._others[entry]

    def _note(self, other: _Other, name: str, total: float) -> None:
        news = total - other.spent.get(name, 0.0)
        other.spent[name] = total
        bucket = self._buckets.get(name)
        if bucket is not None:
            bucket.level -= news - other.assumed.pop(name, 0.0)

    def _charge(self, name: str, cost: float) -> None:
        self._buckets[name].level -= cost
        self._spent[name] = self._spent.get(name, 0.0) + cost

    def _bucket(self, workspace: Workspace, now: float) -> _Bucket:
        rate, burst = self.terms.rate(workspace), self.terms.burst(workspace)
        bucket = self._buckets.get(workspace.name)
        if bucket is None:
            part = 1.0 if self.terms.first_start else START_PART
            bucket = self._buckets[workspace.name] = _Bucket(part * burst, now)
        elapsed = max(0.0, now - bucket.at)
        bucket.at = now
        part = rate / (1 + len(self._others))
        bucket.level += rate * elapsed
        for other in self._others.values():
            if now - other.heard > SILENT_S:
                assumed = part * elapsed
                bucket.level -= assumed
                known = other.assumed.get(workspace.name, 0.0)
                other.assumed[workspace.name] = known + assumed
        bucket.level = min(bucket.level, burst)
        return bucket

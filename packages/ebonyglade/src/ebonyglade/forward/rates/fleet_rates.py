"""Workspaces' rate limits over all entries, without a coordinator.

Each entry keeps a token bucket per workspace for the whole fleet. It takes from the
bucket what it admits itself and what the other entries report. The error is what
the others have admitted and not reported yet: at most what they admit between two
heartbeats.

A process that starts while others run asks one of them for the levels of its
buckets. Until it knows them, or if all entries have restarted, its buckets begin
with `INITIAL_HEADROOM_SHARE` of the tolerance that they do not use, because tokens
that the previous process of this instance admitted count in the same window, and
possibly no process knows of them any more. No tokens are added before it knows which
other entries there are, see `presence`: it may be cut off from all others, which use
the whole rate meanwhile.

An entry that fell silent may have ended, or may still serve on the other side of a
network partition. Until it is forgotten or known to have ended, it counts as
spending an equal share of the rate and of the tokens that were left when it fell
silent. Thus the two sides of a partition together admit no more than the whole fleet
may, but for what they admit until they notice the silence. Where a side may lack
entries that it does not know of, its `FleetShare` leaves them a part.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from ebonyglade.forward.presence.fleet_share import WHOLE, FleetShare
from ebonyglade.forward.rates.tolerance import RateTolerance
from ebonyglade.forward.types import Workspace
from ebonyglade.wire.fleet import RateLevel

SILENT_AFTER_S = 1.0  # after its last heartbeat an entry counts as spending its share
LEVELS_REQUEST_INTERVAL_S = 0.2  # between two requests for another entry's levels
# After this time without a response the levels are not requested any more: a bucket
# that was kept this long is right whatever its initial level was.
LEVELS_WAIT_S = 10.0
# Reporters of a zone whose offsets are kept. Two report at a time, and each restart of
# one counts as another.
MAX_REPORTERS = 8
# Requests that entries may admit for the same tokens before they hear of each other:
# where a workspace asks for more than its rate, they wait at several entries. More do
# where entries hear of each other through the reporters of their zones.
COLLIDING_REQUESTS = 1
COLLIDING_REQUESTS_OF_ZONES = 3


@dataclass(slots=True)
class _Bucket:
    """Token bucket of one workspace.

    Attributes:
        level: tokens left; negative where too much was admitted.
        at: when the level was brought up to date, in seconds.
        usable: share of the rate and burst that was left to the entries heard then.
    """

    level: float
    at: float
    usable: float = 1.0


@dataclass(slots=True)
class _OtherEntry:
    """What another entry admitted.

    Attributes:
        incarnation: incarnation of the process that reported the totals.
        spent: tokens that it admitted since its start, by workspace.
        last_heard: when it last reported.
        assumed_spent: tokens that it is assumed to have spent since, by workspace.
        assumed_level: part of these that it may have spent of the bucket's level.
        assumed_entries: number of entries for which that part counts.
        entries: number of entries that it stands for; more than one for a zone.
        all_known: whether `spent` has all workspaces for which it has spent tokens.
        offsets: for a zone, what to add to the totals of each of its reporters, since
            each counts from its own start.
    """

    incarnation: str
    spent: dict[str, float]
    last_heard: float
    assumed_spent: dict[str, float] = field(default_factory=dict)
    assumed_level: dict[str, float] = field(default_factory=dict)
    assumed_entries: dict[str, int] = field(default_factory=dict)
    entries: int = 1
    all_known: bool = True
    offsets: dict[str, dict[str, float]] = field(default_factory=dict)

    def clear_assumed(self) -> None:
        """Forget what it was assumed to have spent."""
        self.assumed_spent.clear()
        self.assumed_level.clear()
        self.assumed_entries.clear()


def _no_workspace(name: str) -> Workspace | None:
    return None


MIN_WAIT_S = 0.001
# Until callers are to come back while no tokens are added.
UNKNOWN_WAIT_S = 1.0
# Name under which the entries are kept that only other members hear.
UNHEARD_KEY = "unheard entries"


def silent_key(zone: str) -> str:
    """Return the name under which the silent entries of a zone are kept."""
    return f"silent in zone {zone}"


def zone_key(zone: str) -> str:
    """Return the name under which the totals of a zone are kept."""
    return f"zone {zone}"


@dataclass(slots=True)
class FleetRates:
    """Buckets of all workspaces, as this entry sees them.

    Attributes:
        limits: allowance above rates and bursts.
        started_at: when this process started.
        find_workspace: returns a workspace by its name; None if there is none.
        joined_at: since when it is known which other entries there are; None before
            that.
    """

    limits: RateTolerance = field(default_factory=RateTolerance)
    started_at: float = 0.0
    find_workspace: Callable[[str], Workspace | None] = _no_workspace
    joined_at: float | None = 0.0
    _share: FleetShare = WHOLE
    _adopted: bool = False
    _requested_at: float = float("-inf")
    _buckets: dict[str, _Bucket] = field(default_factory=dict)
    _others: dict[str, _OtherEntry] = field(default_factory=dict)
    _spent_at: dict[str, float] = field(default_factory=dict)
    _spent: dict[str, float] = field(default_factory=dict)
    _largest: dict[str, float] = field(default_factory=dict)

    @property
    def spent(self) -> dict[str, float]:
        """Tokens that this entry admitted since its start, by workspace."""
        return self._spent

    def spent_since(self, at: float) -> dict[str, float]:
        """Return the totals of the workspaces for which this entry admitted tokens."""
        return {
            name: self._spent[name]
            for name, spent_at in self._spent_at.items()
            if spent_at >= at
        }

    def level(self, workspace: str) -> float:
        """Return the tokens in a workspace's bucket at its last update; 0.0 if none."""
        bucket = self._buckets.get(workspace)
        return round(bucket.level, 1) if bucket else 0.0

    def history_known(self, now: float) -> bool:
        """Return whether the buckets account for what was spent before the start."""
        return (
            self.limits.first_start
            or self._adopted
            or now - self.started_at > LEVELS_WAIT_S
        )

    def record_joined(self, now: float) -> None:
        """Record that the other entries are known; tokens are added from now on."""
        if self.joined_at is not None:
            return
        self.joined_at = now
        for name, bucket in self._buckets.items():
            workspace = self.find_workspace(name)
            if self.limits.first_start and workspace is not None:
                initial = self.limits.initial_level(workspace)
                bucket.level += self.limits.burst(workspace) - initial

    def set_share(self, share: FleetShare, now: float) -> None:
        """Set the share of the rates and bursts that may be used from now on."""
        if share.value != self._share.at(now):
            # What was added until now was added at the share until now.
            for name in self._buckets:
                workspace = self.find_workspace(name)
                if workspace is not None and workspace.rate > 0:
                    self._bucket(workspace, now)
        self._share = share

    def set_unheard(self, entries: int) -> None:
        """Set how many entries only other members hear; they count as silent ones."""
        self._set_silent(UNHEARD_KEY, entries)

    def any_silent(self, now: float) -> bool:
        """Return whether any other entry is silent that may still serve."""
        return any(
            now - other.last_heard > SILENT_AFTER_S for other in self._others.values()
        )

    def should_request_levels(self, now: float) -> bool:
        """Return whether to request another entry's levels now; records the request."""
        if (
            self.history_known(now)
            or now - self._requested_at < LEVELS_REQUEST_INTERVAL_S
        ):
            return False
        self._requested_at = now
        return True

    def levels(self, entry: str, now: float) -> list[RateLevel]:
        """Return the levels of buckets that are not full, for an entry that started.

        Args:
            entry: the entry that requests them.
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
            if level < self.limits.burst(workspace):
                found.append(RateLevel(name, level, counted.get(name, 0.0)))
        return found

    def adopt_levels(self, levels: list[RateLevel], now: float) -> bool:
        """Begin with the levels of another entry; all other buckets are full.

        Returns:
            Whether the levels were adopted; only the first response is.
        """
        if self.history_known(now):
            return False
        self._adopted = True
        self._buckets.clear()
        for other in self._others.values():
            other.clear_assumed()
        for reported in levels:
            not_counted = max(
                0.0, self._spent.get(reported.workspace, 0.0) - reported.counted
            )
            self._buckets[reported.workspace] = _Bucket(
                reported.level - not_counted, now
            )
        return True

    def take(self, workspace: Workspace, cost: float, now: float) -> float:
        """Take a request's tokens from its workspace's bucket.

        Returns:
            Zero if the request is admitted; else the seconds until the missing
            tokens are available.
        """
        if workspace.rate <= 0:
            return 0.0
        largest = max(cost, self._largest.get(workspace.name, 0.0))
        self._largest[workspace.name] = largest
        bucket = self._bucket(workspace, now)
        # A request that costs more than the burst needs a full bucket and leaves
        # the bucket negative.
        needed = min(self._needed(workspace, cost), self.limits.burst(workspace))
        missing = needed - bucket.level
        if missing > 0:
            return self._wait_s(missing, self.limits.rate(workspace) * bucket.usable)
        self._charge(workspace.name, cost, now)
        return 0.0

    def _needed(self, workspace: Workspace, cost: float) -> float:
        """Return the tokens that must be in a bucket to admit a request."""
        colliding = self._largest.get(workspace.name, 0.0) * self._colliding_requests()
        return cost + self.limits.reserve(workspace, colliding)

    def _wait_s(self, missing: float, rate: float) -> float:
        """Return the seconds until missing tokens have been added."""
        shortest_s = MIN_WAIT_S if self.joined_at is not None else UNKNOWN_WAIT_S
        return max(missing / rate, shortest_s)

    def _colliding_requests(self) -> int:
        """Return how many requests may be admitted at the same moment."""
        by_zones = any(other.offsets for other in self._others.values())
        return COLLIDING_REQUESTS_OF_ZONES if by_zones else COLLIDING_REQUESTS

    def refund(self, workspace: Workspace, cost: float) -> None:
        """Return the tokens of a request that did not run to the bucket."""
        if workspace.rate > 0:
            self._charge(workspace.name, -cost, self._buckets[workspace.name].at)

    def apply_totals(
        self,
        entry: str,
        incarnation: str,
        spent: dict[str, float],
        now: float,
        complete: bool = True,
    ) -> None:
        """Apply the totals that another entry reports in a heartbeat.

        Args:
            entry: address of the entry.
            incarnation: its incarnation.
            spent: its totals by workspace.
            now: seconds.
            complete: whether these are all of its totals, or those that changed
                lately.
        """
        other = self._others.get(entry)
        if other is None:
            other = _OtherEntry(incarnation, {}, now, all_known=False)
            self._others[entry] = other
        elif other.incarnation != incarnation:
            other = self._others[entry] = _OtherEntry(incarnation, {}, now)
        for name, total in spent.items():
            if not other.all_known:
                # What it admitted before this process knew of it is not charged.
                other.spent.setdefault(name, total)
            self._charge_total(other, name, total, now)
        other.last_heard = now
        if complete:
            other.all_known = True
            self._refund_assumed(other)

    def apply_zone(
        self,
        zone: str,
        reporter: str,
        spent: dict[str, float],
        now: float,
        complete: bool,
        at: float,
        entries: int | None = None,
        silent: int = 0,
    ) -> None:
        """Apply the totals of all entries of another zone.

        Several reporters count the same tokens. The highest of their totals counts,
        each measured from the zone's total when the reporter was first heard, so that
        a token is charged at most once.

        Args:
            zone: the availability zone.
            reporter: the member that counted, with its incarnation.
            spent: totals by workspace.
            now: seconds.
            complete: whether these are all totals, or those that changed lately.
            at: time that the totals are of; not later than `now`.
            entries: number of entries of the zone that its reporter hears; None if
                not stated.
            silent: number of those that it does not hear and that may still serve.
        """
        name = zone_key(zone)
        other = self._others.get(name)
        if other is None:
            if not complete:
                return
            other = self._others[name] = _OtherEntry("", {}, at)
        if entries is not None:
            other.entries = entries
            self._set_silent(silent_key(zone), silent)
        offsets = other.offsets.get(reporter)
        if offsets is None:
            if not complete:
                return
            offsets = other.offsets[reporter] = dict(other.spent)
            while len(other.offsets) > MAX_REPORTERS:
                del other.offsets[next(iter(other.offsets))]
            for workspace, total in spent.items():
                offsets[workspace] = other.spent.get(workspace, 0.0) - total
        for workspace, total in spent.items():
            known = other.spent.get(workspace, 0.0)
            counted = max(known, total + offsets.get(workspace, 0.0))
            self._charge_total(other, workspace, counted, now)
        other.last_heard = max(other.last_heard, at)
        if complete:
            self._refund_assumed(other)

    def apply_early_total(
        self,
        entry: str,
        incarnation: str,
        workspace: str,
        total: float,
        now: float,
    ) -> None:
        """Apply another entry's total of one workspace, sent ahead of its heartbeat."""
        other = self._others.get(entry)
        if other is not None and other.incarnation == incarnation:
            self._charge_total(other, workspace, total, now)

    def remove_entry(self, entry: str) -> None:
        """Forget an entry that ended; it no longer spends its part of the level."""
        other = self._others.pop(entry, None)
        if other is not None:
            for name, part in other.assumed_level.items():
                self._buckets[name].level += part

    def entries_heard_since(self, at: float) -> set[str]:
        """Return the other entries that were heard themselves after some time."""
        return {
            name
            for name, other in self._others.items()
            if other.incarnation and other.last_heard > at
        }

    def retain_entries(self, entries: set[str]) -> None:
        """Forget all other entries that are not among `entries`."""
        for entry in set(self._others) - entries:
            del self._others[entry]

    def _set_silent(self, name: str, silent: int) -> None:
        """Set how many entries count as silent under a name of their own."""
        if silent == 0:
            self.remove_entry(name)
            return
        other = self._others.get(name)
        if other is None:
            self._others[name] = _OtherEntry("", {}, float("-inf"), entries=silent)
            return
        kept = min(1.0, silent / other.entries)
        for workspace, part in other.assumed_level.items():
            returned = (1.0 - kept) * part
            self._buckets[workspace].level += returned
            other.assumed_level[workspace] = part - returned
            counted = other.assumed_entries[workspace]
            other.assumed_entries[workspace] = min(counted, silent)
        other.entries = silent

    def _charge_total(
        self, other: _OtherEntry, name: str, total: float, now: float
    ) -> None:
        increase = total - other.spent.get(name, 0.0)
        other.spent[name] = total
        workspace = self.find_workspace(name)
        if increase and workspace is not None and workspace.rate > 0:
            # The bucket must exist to be charged, even if no request for the
            # workspace has reached this entry.
            self._bucket(workspace, now)
        bucket = self._buckets.get(name)
        if bucket is not None:
            # What the entry was assumed to spend during its silence is already charged.
            bucket.level -= increase - other.assumed_spent.pop(name, 0.0)
            other.assumed_level.pop(name, None)
            other.assumed_entries.pop(name, None)

    def _refund_assumed(self, other: _OtherEntry) -> None:
        """Return what an entry was assumed to spend of workspaces that it did not."""
        for name, assumed in other.assumed_spent.items():
            self._buckets[name].level += assumed
        other.clear_assumed()

    def _charge(self, name: str, cost: float, now: float) -> None:
        self._buckets[name].level -= cost
        self._spent[name] = self._spent.get(name, 0.0) + cost
        self._spent_at[name] = now

    def _new_bucket(self, workspace: Workspace, now: float) -> _Bucket:
        """Return a bucket from which nothing was spent since this process started."""
        rate, burst = self.limits.rate(workspace), self.limits.burst(workspace)
        initial = self.limits.initial_level(workspace)
        if self.joined_at is None:
            return _Bucket(initial, now)
        if self.limits.first_start or self._adopted:
            return _Bucket(burst, now)
        return _Bucket(min(burst, initial + rate * self._joined_s(0.0, now)), now)

    def _joined_s(self, since: float, now: float) -> float:
        """Return the seconds since some time in which tokens are added."""
        if self.joined_at is None:
            return 0.0
        return max(0.0, now - max(since, self.started_at, self.joined_at))

    def _bucket(self, workspace: Workspace, now: float) -> _Bucket:
        rate, burst = self.limits.rate(workspace), self.limits.burst(workspace)
        bucket = self._buckets.get(workspace.name)
        if bucket is None:
            bucket = self._buckets[workspace.name] = self._new_bucket(workspace, now)
        added = rate * self._joined_s(bucket.at, now) * self._share.at(now)
        bucket.at = now
        entries = 1 + sum(other.entries for other in self._others.values())
        left = max(0.0, bucket.level)
        bucket.level += added
        level_parts, silent = 0.0, 0
        for other in self._others.values():
            if now - other.last_heard > SILENT_AFTER_S:
                silent += other.entries
                rate_part = added * other.entries / entries
                bucket.level -= rate_part
                level_parts += self._assume_spent(
                    other, workspace.name, rate_part, left / entries
                )
        bucket.usable = self._share.at(now) * (1 - silent / entries)
        largest = self._needed(workspace, self._largest.get(workspace.name, 0.0))
        capacity = min(burst, max(burst * bucket.usable, largest))
        bucket.level = min(min(bucket.level, burst) - level_parts, capacity)
        return bucket

    def _assume_spent(
        self, other: _OtherEntry, name: str, rate_part: float, level_part: float
    ) -> float:
        """Record what a silent entry, or several, may spend of a workspace's tokens.

        Args:
            other: the silent entry or entries.
            name: the workspace.
            rate_part: their share of the tokens that were added since the last time.
            level_part: share of each in the tokens that were left then; it counts
                once for each silence of an entry.

        Returns:
            The part of the level that counts now.
        """
        counted = other.assumed_entries.get(name, 0)
        spent = max(0, other.entries - counted) * level_part
        other.assumed_entries[name] = max(counted, other.entries)
        other.assumed_level[name] = other.assumed_level.get(name, 0.0) + spent
        assumed = other.assumed_spent.get(name, 0.0)
        other.assumed_spent[name] = assumed + rate_part + spent
        return spent

"""Sealing of old lists, so that no lease can be gained from them."""

import math

from ebonyglade.ownership.lease_times import LeaseTimes
from ebonyglade.ownership.quorum import ListPanel, quorum_value


class Seals:
    """Promises of voters about old lists, and the floors that result from them.

    A voter that promised a revision refuses all requests of older revisions. Once
    a quorum of a list's own panel has promised, no lease can be gained from that
    list, and its voters need not be asked any more. A group's floor is the
    revision below which all lists are sealed.
    """

    def __init__(self, lease_times: LeaseTimes) -> None:
        self._lease_times = lease_times
        self._lists: list[tuple[float, int]] = []
        self._promises: dict[str, list[tuple[float, int]]] = {}
        self._floors: dict[int, int] = {}
        self.promised = 0

    def note_list(self, revision: int, now: float) -> None:
        """Record that a newer list was received."""
        if not self._lists:
            # A restarted process refuses lists older than the first one it received.
            self.promised = revision
        self._lists.append((now, revision))

    def proposed_revision(self, now: float) -> int:
        """Return the revision below which lists should be sealed by `now`."""
        limit = now - self._lease_times.seal_s
        while len(self._lists) > 1 and self._lists[1][0] <= limit:
            del self._lists[0]
        if not self._lists or self._lists[0][0] > limit:
            return 0
        return self._lists[0][1]

    def promise(self, revision: int, known: int) -> int:
        """Promise, as a voter, to refuse requests older than `revision`.

        The promise is made only if this process has the configuration up to that
        revision (`known`). Returns the highest revision promised so far.
        """
        if revision <= known:
            self.promised = max(self.promised, revision)
        return self.promised

    def note_promise(self, voter: str, promised: int, now: float) -> None:
        """Record a voter's promise; it counts once its older grants have expired."""
        promises = self._promises.setdefault(voter, [(-math.inf, 0)])
        if promised > promises[-1][1]:
            promises.append((now + self._lease_times.abstain_s, promised))
        while len(promises) > 1 and promises[1][0] <= now:
            del promises[0]

    def floor(self, group: int) -> int:
        """Return the revision below which no list can make a lease on a group."""
        return self._floors.get(group, 0)

    def raise_floor(self, group: int, floor: int) -> None:
        """Apply a floor that another process determined."""
        if floor > self.floor(group):
            self._floors[group] = floor

    def advance_floor(self, group: int, panels: list[ListPanel], now: float) -> int:
        """Raise a group's floor as far as the promises allow, and return it."""
        for item in panels:
            if item.end <= self.floor(group):
                continue
            promised = {
                name: self._effective_promise(name, now)
                for zone in item.panel
                for name in zone
            }
            if item.end == math.inf or quorum_value(item.panel, promised) < item.end:
                break
            self._floors[group] = int(item.end)
        return self.floor(group)

    def _effective_promise(self, voter: str, now: float) -> int:
        promises = self._promises.get(voter, ())
        return max((promised for at, promised in promises if at <= now), default=0)

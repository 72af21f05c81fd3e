"""Sealing: old lists lose their power to make a lease."""

import math

from ebonyglade.ownership.quorum import ListPanel, reached_by
from ebonyglade.ownership.terms import Terms


class Seals:
    """What voters promised about old lists, and the floors that follow.

    A voter that promised a revision refuses all requests of older ones. Once a
    quorum of a list's own panel promised, no lease can come from that list,
    and its voters need not be asked any more.
    """

    def __init__(self, terms: Terms) -> None:
        self._terms = terms
        self._lists: list[tuple[float, int]] = []
        self._promises: dict[str, list[tuple[float, int]]] = {}
        self._floors: dict[int, int] = {}
        self.promised = 0

    def learned(self, revision: int, now: float) -> None:
        """Note a newer list."""
        if not self._lists:
            # A process that restarted does not go back behind its start.
            self.promised = revision
        self._lists.append((now, revision))

    def proposal(self, now: float) -> int:
        """Return the revision below which lists should be sealed by now."""
        limit = now - self._terms.seal_s
        while len(self._lists) > 1 and self._lists[1][0] <= limit:
            del self._lists[0]
        if not self._lists or self._lists[0][0] > limit:
            return 0
        return self._lists[0][1]

    def promise(self, revision: int, known: int) -> int:
        """Promise, as a voter, to refuse requests older than a revision."""
        if revision <= known:
            self.promised = max(self.promised, revision)
        return self.promised

    def heard(self, voter: str, promised: int, now: float) -> None:
        """Note a voter's promise; it counts once older grants have ended."""
        promises = self._promises.setdefault(voter, [(-math.inf, 0)])
        if promised > promises[-1][1]:
            promises.append((now + self._terms.abstain_s, promised))
        while len(promises) > 1 and promises[1][0] <= now:
            del promises[0]

    def floor(self, group: int) -> int:
        """Return the revision below which no list makes a lease on a group."""
        return self._floors.get(group, 0)

    def raise_floor(self, group: int, floor: int) -> None:
        """Take a floor that another process found."""
        if floor > self.floor(group):
            self._floors[group] = floor

    def advance(self, group: int, panels: list[ListPanel], now: float) -> int:
        """Raise a group's floor as far as the promises allow; return it."""
        for item in panels:
            if item.end <= self.floor(group):
                continue
            promised = {
                name: self._in_force(name, now) for zone in item.panel for name in zone
            }
            if item.end == math.inf or reached_by(item.panel, promised) < item.end:
                break
            self._floors[group] = int(item.end)
        return self.floor(group)

    def _in_force(self, voter: str, now: float) -> int:
        promises = self._promises.get(voter, ())
        return max((promised for at, promised in promises if at <= now), default=0)

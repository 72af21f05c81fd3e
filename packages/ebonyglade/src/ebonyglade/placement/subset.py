"""The bounded subset of endpoints that one entry uses.

An entry talks to a few endpoints of each pool's stage, so that its connections
and heartbeats do not grow with the fleet. Both sides choose by rendezvous
hashing (Thaler and Ravishankar, 1998): an entry takes the endpoints that rank
highest for it, and in addition those that rank it among their first entries.
So each endpoint is used by some entries, and a change of the list moves little.
"""

import heapq
from dataclasses import dataclass, field
from hashlib import blake2b

from ebonyglade.config.view import View

SUBSET_ENDPOINTS = 12  # endpoints of one pool's stage that an entry picks
LOCAL_ENDPOINTS = 6  # of these, at most so many in its own availability zone
COVERING_ENTRIES = 3  # entries that each endpoint picks


def rank(first: str, second: str) -> int:
    """Return the rendezvous score of a pair of instances."""
    text = f"{first}\0{second}".encode()
    return int.from_bytes(blake2b(text, digest_size=8).digest(), "big")


@dataclass(slots=True)
class _Coverage:
    """The entries that each endpoint picks, kept up as the list changes."""

    entries: frozenset[str] = frozenset()
    picked: dict[str, list[tuple[int, str]]] = field(default_factory=dict)

    def update(self, entries: tuple[str, ...]) -> None:
        """Take the present list of entries; only what changed is ranked."""
        fresh = frozenset(entries)
        if fresh == self.entries:
            return
        added, removed = fresh - self.entries, self.entries - fresh
        self.entries = fresh
        for endpoint, picked in list(self.picked.items()):
            if removed and any(entry in removed for _, entry in picked):
                self.picked[endpoint] = self._rank_all(endpoint)
                continue
            more = [(rank(entry, endpoint), entry) for entry in added]
            self.picked[endpoint] = heapq.nlargest(COVERING_ENTRIES, picked + more)

    def covers(self, endpoint: str, entry: str) -> bool:
        """Return whether an endpoint picks an entry."""
        picked = self.picked.get(endpoint)
        if picked is None:
            picked = self.picked[endpoint] = self._rank_all(endpoint)
        return any(name == entry for _, name in picked)

    def retain(self, endpoints: set[str]) -> None:
        """Forget the endpoints that are not listed any more."""
        for endpoint in [name for name in self.picked if name not in endpoints]:
            del self.picked[endpoint]

    def _rank_all(self, endpoint: str) -> list[tuple[int, str]]:
        ranked = ((rank(entry, endpoint), entry) for entry in self.entries)
        return heapq.nlargest(COVERING_ENTRIES, ranked)


@dataclass(frozen=True, slots=True)
class _Known:
    members: tuple[str, ...]
    entries: tuple[str, ...]
    subset: tuple[str, ...]


class Subsets:
    """The subsets of one entry, worked out again only when the lists change."""

    def __init__(self, entry: str) -> None:
        self._entry = entry
        self._coverage: dict[tuple[str, str], _Coverage] = {}
        self._known: dict[tuple[str, str], _Known] = {}

    def of(self, view: View, pool: str, stage: str) -> tuple[str, ...]:
        """Return the endpoints of a pool's stage that this entry uses."""
        members = view.endpoints(pool, stage)
        if len(members) <= SUBSET_ENDPOINTS:
            return members
        key = (pool, stage)
        known = self._known.get(key)
        if known and known.members == members and known.entries == view.entries:
            return known.subset
        subset = self._choose(view, key, members)
        self._known[key] = _Known(members, view.entries, subset)
        return subset

    def _choose(
        self, view: View, key: tuple[str, str], members: tuple[str, ...]
    ) -> tuple[str, ...]:
        coverage = self._coverage.setdefault(key, _Coverage())
        coverage.retain(set(members))
        coverage.update(view.entries)
        chosen = set(pick(view, self._entry, members))
        chosen |= {name for name in members if coverage.covers(name, self._entry)}
        return tuple(sorted(chosen))


def pick(view: View, entry: str, members: tuple[str, ...]) -> list[str]:
    """Return the endpoints that rank highest for an entry.

    Half of them come from its own availability zone, the rest from the other
    zones of its region, so that the loss of a zone leaves it some.
    """
    ranked = sorted(members, key=lambda name: rank(entry, name), reverse=True)
    listed = view.instances.get(entry)
    if listed is None:
        return ranked[:SUBSET_ENDPOINTS]
    instances = view.instances
    near = [name for name in ranked if instances[name].region == listed.region]
    near = near or ranked
    local = [name for name in near if instances[name].zone == listed.zone]
    other = [name for name in near if instances[name].zone != listed.zone]
    chosen = local[:LOCAL_ENDPOINTS] + other
    chosen = chosen[:SUBSET_ENDPOINTS]
    spare = local[LOCAL_ENDPOINTS:]
    return chosen + spare[: SUBSET_ENDPOINTS - len(chosen)]

"""The bounded subset of endpoints that one entry uses.

An entry talks to a few endpoints of each pool's stage, so that its connections
and heartbeats do not grow with the fleet. Pairs are ranked by rendezvous hashing
(Thaler and Ravishankar, 1998): an entry picks the endpoints that rank highest for
it, and also uses the endpoints for which it is among the highest-ranked entries.
So every endpoint is used by some entries, and a change of the instance list
changes few members of a subset.
"""

import heapq
from dataclasses import dataclass, field
from hashlib import blake2b

from ebonyglade.config.view import ConfigView

SUBSET_ENDPOINTS = 12  # endpoints of one pool's stage that an entry picks
LOCAL_ENDPOINTS = 6  # preferred number of these in its own availability zone
COVERING_ENTRIES = 3  # entries that are picked for each endpoint


def rendezvous_score(first: str, second: str) -> int:
    """Return the rendezvous score of a pair of instances."""
    text = f"{first}\0{second}".encode()
    return int.from_bytes(blake2b(text, digest_size=8).digest(), "big")


@dataclass(slots=True)
class _Coverage:
    """The entries picked for each endpoint, updated as the instance list changes."""

    entries: frozenset[str] = frozenset()
    picked: dict[str, list[tuple[int, str]]] = field(default_factory=dict)

    def update(self, entries: tuple[str, ...]) -> None:
        """Set the present list of entries.

        All entries are ranked again only for endpoints that lost a picked entry; for
        the others, only the added ones are ranked.
        """
        fresh = frozenset(entries)
        if fresh == self.entries:
            return
        added, removed = fresh - self.entries, self.entries - fresh
        self.entries = fresh
        for endpoint, picked in list(self.picked.items()):
            if removed and any(entry in removed for _, entry in picked):
                self.picked[endpoint] = self._rank_all(endpoint)
                continue
            more = [(rendezvous_score(entry, endpoint), entry) for entry in added]
            self.picked[endpoint] = heapq.nlargest(COVERING_ENTRIES, picked + more)

    def covers(self, endpoint: str, entry: str) -> bool:
        """Return whether an entry is picked for an endpoint."""
        picked = self.picked.get(endpoint)
        if picked is None:
            picked = self.picked[endpoint] = self._rank_all(endpoint)
        return any(name == entry for _, name in picked)

    def retain(self, endpoints: set[str]) -> None:
        """Remove the endpoints that are no longer listed."""
        for endpoint in [name for name in self.picked if name not in endpoints]:
            del self.picked[endpoint]

    def _rank_all(self, endpoint: str) -> list[tuple[int, str]]:
        ranked = ((rendezvous_score(entry, endpoint), entry) for entry in self.entries)
        return heapq.nlargest(COVERING_ENTRIES, ranked)


@dataclass(frozen=True, slots=True)
class _CachedSubset:
    members: tuple[str, ...]
    entries: tuple[str, ...]
    subset: tuple[str, ...]


class Subsets:
    """The subsets of one entry, cached until the instance lists change."""

    def __init__(self, entry: str) -> None:
        self._entry = entry
        self._coverage: dict[tuple[str, str], _Coverage] = {}
        self._cached: dict[tuple[str, str], _CachedSubset] = {}

    def of(self, view: ConfigView, pool: str, stage: str) -> tuple[str, ...]:
        """Return the endpoints of a pool's stage that this entry uses."""
        members = view.endpoints(pool, stage)
        if len(members) <= SUBSET_ENDPOINTS:
            return members
        key = (pool, stage)
        cached = self._cached.get(key)
        if cached and cached.members == members and cached.entries == view.entries:
            return cached.subset
        subset = self._choose(view, key, members)
        self._cached[key] = _CachedSubset(members, view.entries, subset)
        return subset

    def _choose(
        self, view: ConfigView, key: tuple[str, str], members: tuple[str, ...]
    ) -> tuple[str, ...]:
        coverage = self._coverage.setdefault(key, _Coverage())
        coverage.retain(set(members))
        coverage.update(view.entries)
        chosen = set(highest_ranked(view, self._entry, members))
        chosen |= {name for name in members if coverage.covers(name, self._entry)}
        return tuple(sorted(chosen))


def highest_ranked(view: ConfigView, entry: str, members: tuple[str, ...]) -> list[str]:
    """Return the endpoints that rank highest for an entry.

    Half of them are in its own availability zone where possible, the rest in other
    zones of its region, so that some are left after the loss of a zone.
    """
    ranked = sorted(
        members, key=lambda name: rendezvous_score(entry, name), reverse=True
    )
    listed = view.instances.get(entry)
    if listed is None:
        return ranked[:SUBSET_ENDPOINTS]
    instances = view.instances
    same_region = [name for name in ranked if instances[name].region == listed.region]
    same_region = same_region or ranked
    local = [name for name in same_region if instances[name].zone == listed.zone]
    other_zones = [name for name in same_region if instances[name].zone != listed.zone]
    chosen = local[:LOCAL_ENDPOINTS] + other_zones
    chosen = chosen[:SUBSET_ENDPOINTS]
    spare = local[LOCAL_ENDPOINTS:]
    return chosen + spare[: SUBSET_ENDPOINTS - len(chosen)]

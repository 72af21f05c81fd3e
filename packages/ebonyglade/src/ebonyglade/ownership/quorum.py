"""Voters of a group, and the quorum of their grants that makes a lease.

The rules exclude two simultaneous leases even if these were computed from
different revisions of the list; docs/design/rates.md has the proof.
"""

import hashlib
import math
from bisect import insort
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from functools import lru_cache
from itertools import groupby

VOTING_ZONES = 3  # availability zones that vote
VOTERS_PER_ZONE = 3  # voters in each of them

Ranked = tuple[int, str]
Panel = tuple[tuple[str, ...], ...]
"""Voters by zone; a quorum is a majority of zones with a majority in each."""


@dataclass(frozen=True, slots=True)
class VotingMember:
    """An instance that may vote: its zone and the revision that listed it."""

    zone: str
    since: int


@lru_cache(maxsize=16384)
def _digest(name: str) -> int:
    raw = hashlib.blake2b(name.encode(), digest_size=8).digest()
    return int.from_bytes(raw, "big")


def rank(group: int, name: str) -> Ranked:
    """Return the rendezvous rank of a name for a group; smaller is first."""
    value = _digest(name) ^ _digest(f"group {group}")
    # Finalizer of splitmix64, to mix the bits of both hashes.
    value = (value ^ (value >> 30)) * 0xBF58476D1CE4E5B9 & 0xFFFFFFFFFFFFFFFF
    value = (value ^ (value >> 27)) * 0x94D049BB133111EB & 0xFFFFFFFFFFFFFFFF
    return value ^ (value >> 31), name


def group_of(workspace: str, groups: int) -> int:
    """Return the group that a workspace belongs to."""
    return _digest(workspace) % groups


def first_ranked(group: int, names: Iterable[str], count: int) -> list[str]:
    """Return the first names of a group's rendezvous order."""
    return [name for _, name in sorted(rank(group, name) for name in names)[:count]]


@dataclass(frozen=True, slots=True)
class ListPanel:
    """Panel of the lists with revisions from the previous panel's `end` to below `end`.

    `end` is infinite for the newest panel.
    """

    panel: Panel
    end: float


def list_panels(group: int, members: Mapping[str, VotingMember]) -> list[ListPanel]:
    """Return the panels of this list and of all lists that it can have grown from.

    For each revision, the members listed up to it form a panel. A lease needs a
    quorum in every panel that is not sealed, so that its quorums intersect the
    quorums of each lease of an older revision.
    """
    zones: dict[str, list[Ranked]] = {}
    ranked_zones: list[Ranked] = []
    found: list[ListPanel] = []
    by_revision = sorted(members.items(), key=lambda item: item[1].since)
    for since, added in groupby(by_revision, key=lambda item: item[1].since):
        before = _panel(zones, ranked_zones)
        for name, member in added:
            _add_voter(group, name, member.zone, zones, ranked_zones)
        if before and before != _panel(zones, ranked_zones):
            found.append(ListPanel(before, since))
    if ranked_zones:
        found.append(ListPanel(_panel(zones, ranked_zones), math.inf))
    return found


def _add_voter(
    group: int,
    name: str,
    zone: str,
    zones: dict[str, list[Ranked]],
    ranked_zones: list[Ranked],
) -> None:
    """Add an instance to its zone's voters if its rank is among the first."""
    if zone not in zones:
        zones[zone] = []
        insort(ranked_zones, rank(group, zone))
    voters = zones[zone]
    insort(voters, rank(group, name))
    del voters[VOTERS_PER_ZONE:]


def _panel(zones: dict[str, list[Ranked]], ranked_zones: list[Ranked]) -> Panel:
    return tuple(
        tuple(name for _, name in zones[zone])
        for _, zone in ranked_zones[:VOTING_ZONES]
    )


def voters_of(panels: Iterable[Panel]) -> set[str]:
    """Return all voters of the panels."""
    return {name for panel in panels for zone in panel for name in zone}


def quorum_until(panels: list[Panel], until: Mapping[str, float]) -> float:
    """Return until when the grants form a quorum in every panel.

    Args:
        panels: the panels of one group.
        until: monotonic seconds until which each voter's grant holds.

    Returns:
        Monotonic seconds; minus infinity if there is no quorum or no panel.
    """
    if not panels:
        return -math.inf
    return min(quorum_value(panel, until) for panel in panels)


def quorum_value(panel: Panel, until: Mapping[str, float]) -> float:
    """Return the greatest value that a quorum of a panel reaches."""
    zones = [_majority([until.get(name, -math.inf) for name in zone]) for zone in panel]
    return _majority(zones)


def _majority(values: list[float]) -> float:
    """Return the value that more than half of the values reach."""
    return sorted(values, reverse=True)[len(values) // 2]

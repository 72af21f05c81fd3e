"""Topology in which configuration changes are relayed between instances.

All functions are pure. The live instances of each availability zone are ordered
by a hash. The first `READERS_PER_ZONE` of them read the platform. Every other instance
follows two instances that precede it in that order, so that each one has a
bounded number of followers and a change reaches a zone of n instances in about
log(n) steps. The zones form a ring: a reader also follows the other readers of
its zone and one reader in each adjacent zone, so that a change spreads to all
instances even if only a single reader gets it from the platform.
"""

import hashlib
from collections import defaultdict
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from functools import lru_cache

from ebonyglade.config.documents import Instance

READERS_PER_ZONE = 3  # in each availability zone
FANOUT = 4  # instances that share the same first parent

ZoneOrders = Mapping[str, list[str]]


@dataclass(frozen=True, slots=True)
class RelayRole:
    """Role of one instance in the relay.

    Attributes:
        is_reader: whether it reads the platform.
        parents: instances that it follows.
    """

    is_reader: bool
    parents: tuple[str, ...] = ()


@lru_cache(maxsize=16384)
def stable_hash(salt: str, name: str) -> int:
    """Return a hash that is the same in every process."""
    text = f"{salt}/{name}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


def order_by_zone(instances: Mapping[str, Instance]) -> dict[str, list[str]]:
    """Return the live instances of each availability zone, ordered by hash."""
    zones: dict[str, list[str]] = defaultdict(list)
    for name, instance in instances.items():
        if instance.state == "live":
            zones[instance.zone].append(name)
    return {
        zone: sorted(zones[zone], key=lambda name: stable_hash(zone, name))
        for zone in sorted(zones)
    }


def readers(order: list[str], down: Collection[str] = ()) -> list[str]:
    """Return the instances of one zone that read the platform."""
    found = []
    for name in order:
        if name not in down:
            found.append(name)
        if len(found) == READERS_PER_ZONE:
            break
    return found


def assign_role(
    me: str, zone: str, orders: ZoneOrders, down: Collection[str]
) -> RelayRole:
    """Return the role of an instance.

    Args:
        me: the instance; it need not be listed yet.
        zone: its availability zone.
        orders: as `order_by_zone` returns them.
        down: instances that it considers down.
    """
    names = [name for name in orders.get(zone, []) if name not in down and name != me]
    own_hash = stable_hash(zone, me)
    position = sum(1 for name in names if stable_hash(zone, name) < own_hash)
    if position < READERS_PER_ZONE:
        zone_readers = names[: READERS_PER_ZONE - 1]
        return RelayRole(
            True, (*zone_readers, *_adjacent_zone_readers(zone, position, orders, down))
        )
    first = (position - READERS_PER_ZONE) // FANOUT
    second = first + 1 if first + 1 < position else first - 1
    return RelayRole(False, (names[first], names[second]))


def read_rank(me: str, revision: int, orders: ZoneOrders, down: Collection[str]) -> int:
    """Return how many readers should read a revision before this one.

    The order differs between revisions, which distributes the reads.
    """
    salt = str(revision)
    own_hash = stable_hash(salt, me)
    names = {name for order in orders.values() for name in readers(order, down)}
    return sum(1 for name in names - {me} if stable_hash(salt, name) < own_hash)


def _adjacent_zone_readers(
    zone: str, position: int, orders: ZoneOrders, down: Collection[str]
) -> list[str]:
    zones = sorted({*orders, zone})
    at = zones.index(zone)
    near = {zones[at - 1], zones[(at + 1) % len(zones)]} - {zone}
    found = []
    for other in sorted(near):
        names = readers(orders.get(other, []), down)
        if names:
            found.append(names[position % len(names)])
    return found

"""Who reads the platform, and from whom everybody else learns.

All functions are pure. Each availability zone orders its listed instances by a
hash. The first few read the platform; every other follows two instances before
it in that order, so that each has a bounded number of followers and a change
reaches a zone of n instances in about log(n) steps. Readers also follow each
other, in their zone and in the next zones of a ring, so that one reader
anywhere is enough.
"""

import hashlib
from collections import defaultdict
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from functools import lru_cache

from ebonyglade.config.published import Instance

READERS = 3  # in each availability zone
FANOUT = 8  # instances that have the same first parent

Orders = Mapping[str, list[str]]


@dataclass(frozen=True, slots=True)
class Place:
    """The place of one instance in the relay.

    Attributes:
        reads: whether it reads the platform.
        parents: instances that it follows.
    """

    reads: bool
    parents: tuple[str, ...] = ()


@lru_cache(maxsize=16384)
def weight(salt: str, name: str) -> int:
    """Return a hash that is the same in every process."""
    text = f"{salt}/{name}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


def orders(instances: Mapping[str, Instance]) -> dict[str, list[str]]:
    """Return the live instances of each availability zone in their order."""
    zones: dict[str, list[str]] = defaultdict(list)
    for name, instance in instances.items():
        if instance.state == "live":
            zones[instance.zone].append(name)
    return {
        zone: sorted(zones[zone], key=lambda name: weight(zone, name))
        for zone in sorted(zones)
    }


def readers(order: list[str], down: Collection[str] = ()) -> list[str]:
    """Return the instances of one zone that read the platform."""
    found = []
    for name in order:
        if name not in down:
            found.append(name)
        if len(found) == READERS:
            break
    return found


def place(me: str, zone: str, orders: Orders, down: Collection[str]) -> Place:
    """Return the place of an instance.

    Args:
        me: the instance; it need not be listed yet.
        zone: its availability zone.
        orders: as `orders` returns them.
        down: instances that it holds to be down.
    """
    names = [name for name in orders.get(zone, []) if name not in down and name != me]
    mine = weight(zone, me)
    position = sum(1 for name in names if weight(zone, name) < mine)
    if position < READERS:
        fellows = names[: READERS - 1]
        return Place(True, (*fellows, *_bridges(zone, position, orders, down)))
    first = (position - READERS) // FANOUT
    second = first + 1 if first + 1 < position else first - 1
    return Place(False, (names[first], names[second]))


def read_rank(me: str, revision: int, orders: Orders, down: Collection[str]) -> int:
    """Return after how many other readers this one should read a revision.

    The order differs from revision to revision, which spreads the reads.
    """
    salt = str(revision)
    mine = weight(salt, me)
    names = {name for order in orders.values() for name in readers(order, down)}
    return sum(1 for name in names - {me} if weight(salt, name) < mine)


def _bridges(
    zone: str, position: int, orders: Orders, down: Collection[str]
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

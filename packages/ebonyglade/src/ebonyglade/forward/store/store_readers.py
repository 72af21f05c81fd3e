"""Choice of the members that read the store; the others follow their replicas.

The store allows a limited number of reads over the whole fleet. In a zone with many
members only the first ones by rank read it. A member whose reads fail says so in its
heartbeats, and the next ones by rank read until it succeeds again. Any member whose
replica is no longer confirmed reads by itself, unless a newer one is on its way from
another member: both would share the link.
"""

from collections.abc import Callable

from ebonyglade.forward.members import FleetMembers, reporter_rank
from ebonyglade.forward.store.replica_sync import ReplicaSync
from ebonyglade.forward.types import NO_VERSION

READERS_PER_ZONE = 2
# In a smaller zone all members read: it saves few reads, and a change is known sooner.
MIN_ZONE_MEMBERS = 6
# A reader that the store has not answered for longer does not count as one. It is
# longer than the wait of a watch and the interval of heartbeats.
READ_MAX_AGE_S = 1.8
# Age of the replica above which a member reads by itself. A watch confirms the time
# at which it was sent, so that a replica's age reaches two waits of a watch.
FOLLOWED_MAX_AGE_S = 3.2


def reader_choice(
    members: FleetMembers, replica_sync: ReplicaSync
) -> Callable[[float], bool]:
    """Return the function that says whether this process reads the store now."""

    def should_read(now: float) -> bool:
        replica = replica_sync.replica
        if replica.as_of == NO_VERSION or replica.age(now) > FOLLOWED_MAX_AGE_S:
            return not replica_sync.transfer.is_progressing(now)
        neighbors = members.zone_members(now)
        if 1 + len(neighbors) < MIN_ZONE_MEMBERS:
            return True
        own = reporter_rank(members.address, members.capacity)
        readers_before = sum(
            item.read_age(now) < READ_MAX_AGE_S
            and reporter_rank(item.address, item.capacity) < own
            for item in neighbors
        )
        return readers_before < READERS_PER_ZONE

    return should_read

"""A virtual fleet for lease tests, and a check that each lease has one holder."""

import asyncio
from collections import Counter

from ebonyglade.ownership.lease_times import LeaseTimes
from ebonyglade_lab.virtual.world import ZONES, World

LEASE_TIMES = LeaseTimes(lease_s=1.0, removal_s=6.0, seal_s=2.0, groups=8)
SAMPLING_INTERVAL_S = 0.02


def lease_world(seed: int = 1, entries: int = 4, agents: int = 5) -> World:
    """Return a virtual fleet whose instances are spread over the zones."""
    world = World(seed, lease_times=LEASE_TIMES)
    for index in range(agents):
        world.add_service(f"rooms-{index}", ZONES[index % len(ZONES)])
    for index in range(entries):
        world.add_entry(f"entry-{index}", ZONES[index % len(ZONES)])
    return world


def holders(world: World, group: int) -> list[str]:
    """Return the instances that hold a group's lease and are running now.

    A paused process can't act on its lease, so it is not counted as a holder.
    """
    return [
        name
        for name, node in world.nodes.items()
        if not node.process.killed
        and not node.process.paused
        and node.core.ownership.current_lease(group, world.now()) is not None
    ]


def violations(world: World) -> Counter:
    """Return how often each invariant was violated, over all processes."""
    return sum(
        (node.context.invariants.violations for node in world.nodes.values()),
        Counter(),
    )


class HolderOracle:
    """Samples all groups and records each time at which one has several holders."""

    def __init__(self, world: World) -> None:
        self.double_holds: list[tuple[float, int, list[str]]] = []
        self._world = world
        self._task = asyncio.ensure_future(self._run())

    def stop(self) -> None:
        """Stop the sampling."""
        self._task.cancel()

    async def _run(self) -> None:
        while True:
            for group in range(self._world.lease_times.groups):
                group_holders = holders(self._world, group)
                if len(group_holders) > 1:
                    self.double_holds.append((self._world.now(), group, group_holders))
            await asyncio.sleep(SAMPLING_INTERVAL_S)


def partition(world: World, side: set[str], other: set[str]) -> None:
    """Partition the network: drop all frames between two sets of instances."""
    world.network.faults.partitioned |= {frozenset((a, b)) for a in side for b in other}


def remove_partitions(world: World) -> None:
    """Remove all network partitions."""
    world.network.faults.partitioned.clear()

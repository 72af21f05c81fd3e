"""Durations that ensure that no two processes hold a lease at once."""

from dataclasses import dataclass

GROUPS = 64
MAX_CLOCK_DRIFT = 0.01  # largest relative error of the rate of any clock


@dataclass(frozen=True, slots=True)
class LeaseTimes:
    """Durations that must be the same on all instances of a fleet.

    Attributes:
        lease_s: seconds for which a voter's grant is valid, on its own clock.
        removal_s: seconds within which an instance that was removed from the
            list, or whose document was rewritten, has stopped or learned of it.
        seal_s: seconds after which lists older than a known one are sealed; must be
            longer than a list takes to reach all reachable instances.
        groups: number of groups that workspaces are hashed into.
    """

    lease_s: float = 2.4
    removal_s: float = 5.0
    seal_s: float = 10.0
    groups: int = GROUPS

    @property
    def holder_lease_s(self) -> float:
        """Seconds for which a holder may use a grant, counted from its request."""
        return self.lease_s * (1 - 2 * MAX_CLOCK_DRIFT)

    @property
    def abstain_s(self) -> float:
        """Seconds after its start in which a voter grants nothing."""
        return self.lease_s * (1 + 2 * MAX_CLOCK_DRIFT)

    @property
    def takeover_s(self) -> float:
        """Seconds within which a group has an owner again, if a quorum is reachable.

        This covers a start of the whole fleet: the time for which removed instances
        still count as listed, and two attempts to gain the lease.
        """
        return self.removed_member_s + 2 * self.abstain_s

    @property
    def removed_member_s(self) -> float:
        """Seconds for which a removed instance still counts as listed."""
        return (self.removal_s + self.lease_s) * (1 + 2 * MAX_CLOCK_DRIFT)

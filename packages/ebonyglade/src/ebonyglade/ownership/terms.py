"""Times on which the exclusion of two holders rests."""

from dataclasses import dataclass

GROUPS = 64
DRIFT = 0.01  # most that the rate of any clock is off


@dataclass(frozen=True, slots=True)
class Terms:
    """Times that must be the same on all instances of a fleet.

    Attributes:
        lease_s: seconds for which a voter grants, on its own clock.
        removal_s: seconds within which an instance that was removed from the
            list, or whose document was rewritten, has stopped or knows of it.
        seal_s: seconds after which lists older than a known one are sealed; longer
            than a list takes to reach all that can be reached.
        groups: number of groups that workspaces are hashed into.
    """

    lease_s: float = 2.4
    removal_s: float = 5.0
    seal_s: float = 10.0
    groups: int = GROUPS

    @property
    def held_s(self) -> float:
        """Seconds for which a holder may rely on a grant, from its request on."""
        return self.lease_s * (1 - 2 * DRIFT)

    @property
    def abstain_s(self) -> float:
        """Seconds after its start for which a voter grants nothing."""
        return self.lease_s * (1 + 2 * DRIFT)

    @property
    def takeover_s(self) -> float:
        """Seconds in which a group has an owner again, if a quorum can be reached.

        After a start of the whole fleet it is the time for which removed instances
        still count, and a lease that is tried for twice.
        """
        return self.settle_s + 2 * self.abstain_s

    @property
    def settle_s(self) -> float:
        """Seconds for which a removed instance still counts as listed."""
        return (self.removal_s + self.lease_s) * (1 + 2 * DRIFT)

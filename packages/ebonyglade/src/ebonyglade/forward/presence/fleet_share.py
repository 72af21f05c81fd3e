"""The share of what the whole fleet may use that is left to this part of it.

A part whose processes are in touch with most of the agents uses `MAJORITY_SHARE` where
it may lack entries that it does not know of. All other parts together use the rest.
"""

from dataclasses import dataclass

MAJORITY_SHARE = 0.92
MINORITY_SHARE = 1.0 - MAJORITY_SHARE


@dataclass(frozen=True, slots=True)
class FleetShare:
    """A share that is reduced when it is not renewed.

    Attributes:
        value: the share, from 0 to 1.
        until: time in seconds from which only `MINORITY_SHARE` counts.
    """

    value: float = 1.0
    until: float = float("inf")

    def at(self, now: float) -> float:
        """Return the share at some time."""
        return self.value if now < self.until else min(self.value, MINORITY_SHARE)


WHOLE = FleetShare()

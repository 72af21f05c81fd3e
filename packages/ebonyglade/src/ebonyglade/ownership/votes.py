"""Grants that this process collected for one group."""

import math
from dataclasses import dataclass, field

from ebonyglade.ownership.quorum import ListPanel, Panel, covered_until, voters_of

NEVER = -math.inf


@dataclass(frozen=True, slots=True)
class Lease:
    """The right to act for a group alone.

    Attributes:
        group: the group.
        epoch: unique over the fleet and time, new at each gain.
        gained: monotonic seconds since when it is held without a gap.
        expires: monotonic seconds until which it is held for sure.
    """

    group: int
    epoch: str
    gained: float
    expires: float


@dataclass(slots=True)
class Votes:
    """What is known of one group that this process holds or wants.

    Attributes:
        group: the group.
        epoch: of the lease held; empty if there is none.
        gained: when it was gained.
        expires: until when a quorum granted it.
        floor: answers to requests up to this number no longer count.
        next_try: when to ask for it next, while it is not held.
        give_up: when to return the grants of an attempt that got no quorum.
        probing: whether only one voter was asked so far.
        asked: voters that may have granted the group.
    """

    group: int
    epoch: str = ""
    gained: float = NEVER
    expires: float = NEVER
    floor: int = 0
    next_try: float = NEVER
    give_up: float = math.inf
    probing: bool = False
    asked: set[str] = field(default_factory=set)
    _panels: list[Panel] = field(default_factory=list)
    _list_panels: list[ListPanel] = field(default_factory=list)
    _version: int = -1
    _floor: int = -1
    _until: dict[str, float] = field(default_factory=dict)
    _fresh: bool = False

    @property
    def held(self) -> bool:
        """Whether the lease was held when last looked at."""
        return bool(self.epoch)

    @property
    def voters(self) -> set[str]:
        """All voters of the panels in force."""
        return voters_of(self._panels)

    @property
    def list_panels(self) -> list[ListPanel]:
        """The panels of all lists that the newest one can have grown from."""
        return self._list_panels

    def outdated(self, version: int) -> bool:
        """Return whether the panels are of another list than `version`."""
        return self._version != version

    def use(self, panels: list[ListPanel], version: int) -> None:
        """Take the panels of another version of the list."""
        self._list_panels = panels
        self._version = version
        self._floor = -1

    def require(self, floor: int) -> None:
        """Require a quorum in each panel that is not sealed from now on.

        The lease stands until `expires`, which the older panels granted.
        """
        if floor == self._floor:
            return
        self._floor = floor
        self._panels = [item.panel for item in self._list_panels if item.end > floor]
        self._fresh = True

    def granted(self, voter: str, until: float) -> None:
        """Note a voter's grant."""
        self._until[voter] = max(until, self._until.get(voter, NEVER))
        self._fresh = True

    def extend(self) -> None:
        """Work out until when the grants at hand make a quorum."""
        if self._fresh:
            self._fresh = False
            self.expires = max(self.expires, covered_until(self._panels, self._until))

    def clear(self, floor: int) -> None:
        """Forget all grants and the answers that are still to come."""
        self.floor = floor
        self.expires = NEVER
        self.give_up = math.inf
        self.asked.clear()
        self._until.clear()

"""Grants that this process has collected for one group."""

import math
from dataclasses import dataclass, field

from ebonyglade.ownership.quorum import ListPanel, Panel, quorum_until, voters_of

NEVER = -math.inf


@dataclass(frozen=True, slots=True)
class Lease:
    """Exclusive right to act for a group.

    Attributes:
        group: the group.
        epoch: unique over the fleet and time, new at each gain.
        gained: monotonic seconds since when it has been held without a gap.
        expires: monotonic seconds until which it is surely held.
    """

    group: int
    epoch: str
    gained: float
    expires: float


@dataclass(slots=True)
class Votes:
    """State of one group whose lease this process holds or tries to gain.

    Attributes:
        group: the group.
        epoch: epoch of the lease held; empty if there is none.
        gained: when the lease was gained.
        expires: until when a quorum granted it.
        ignored_seq: answers to requests up to this sequence number are ignored.
        next_try_at: when to request the lease next, while it is not held.
        give_up_at: when to release the grants of an attempt without a quorum.
        probing: whether only one voter has been asked so far.
        asked: voters that may have granted the group.
    """

    group: int
    epoch: str = ""
    gained: float = NEVER
    expires: float = NEVER
    ignored_seq: int = 0
    next_try_at: float = NEVER
    give_up_at: float = math.inf
    probing: bool = False
    asked: set[str] = field(default_factory=set)
    _panels: list[Panel] = field(default_factory=list)
    _list_panels: list[ListPanel] = field(default_factory=list)
    _list_version: int = -1
    _sealed_floor: int = -1
    _granted_until: dict[str, float] = field(default_factory=dict)
    _grants_changed: bool = False

    @property
    def held(self) -> bool:
        """Whether the lease was held at the last check."""
        return bool(self.epoch)

    @property
    def voters(self) -> set[str]:
        """All voters of the panels in force."""
        return voters_of(self._panels)

    @property
    def list_panels(self) -> list[ListPanel]:
        """Panels of all lists that the newest one can have grown from."""
        return self._list_panels

    def outdated(self, version: int) -> bool:
        """Return whether the panels are not of the list with this version."""
        return self._list_version != version

    def set_list_panels(self, panels: list[ListPanel], version: int) -> None:
        """Set the panels of another version of the list."""
        self._list_panels = panels
        self._list_version = version
        self._sealed_floor = -1

    def set_sealed_floor(self, floor: int) -> None:
        """From now on, require a quorum in each panel that is not sealed.

        The lease stays valid until `expires`, which the older panels granted.
        """
        if floor == self._sealed_floor:
            return
        self._sealed_floor = floor
        self._panels = [item.panel for item in self._list_panels if item.end > floor]
        self._grants_changed = True

    def note_grant(self, voter: str, until: float) -> None:
        """Record a voter's grant."""
        self._granted_until[voter] = max(until, self._granted_until.get(voter, NEVER))
        self._grants_changed = True

    def extend_lease(self) -> None:
        """Extend the lease to the time until which the grants form a quorum."""
        if self._grants_changed:
            self._grants_changed = False
            self.expires = max(
                self.expires, quorum_until(self._panels, self._granted_until)
            )

    def clear(self, seq: int) -> None:
        """Drop all grants, and ignore answers to requests up to number `seq`."""
        self.ignored_seq = seq
        self.expires = NEVER
        self.give_up_at = math.inf
        self.asked.clear()
        self._granted_until.clear()

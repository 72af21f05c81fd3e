"""Availability zones that the operator has evacuated, as the store replica lists them.

A zone is evacuated while its document exists. When the store comes back from an older
copy that lacks the document, the zone stays evacuated for `REWRITE_GRACE_S`, in which
the operator writes the document again.
"""

from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from ebonyglade.ports import Clock

REWRITE_GRACE_S = 5.0
ENDED_TTL_S = 60.0  # the end of an evacuation is remembered for this long

EvacuationListener = Callable[[str, bool], None]
"""Called with a zone and whether it is evacuated now."""


@dataclass(slots=True)
class Evacuations:
    """The evacuated zones that one process knows of.

    Attributes:
        clock: seconds.
        listeners: called when an evacuation begins or ends.
    """

    clock: Clock
    listeners: list[EvacuationListener] = field(default_factory=list)
    _zones: set[str] = field(default_factory=set)
    _kept_until: dict[str, float] = field(default_factory=dict)
    _ended_at: dict[str, float] = field(default_factory=dict)

    @property
    def zones(self) -> Collection[str]:
        """The evacuated zones."""
        return self._zones

    def ended_at(self, zone: str) -> float | None:
        """Return when the evacuation of a zone ended here.

        Returns:
            Local seconds; None if it is evacuated, or if no evacuation of it ended
            within `ENDED_TTL_S`.
        """
        at = self._ended_at.get(zone)
        return None if at is None or self.clock() - at > ENDED_TTL_S else at

    def begin(self, zone: str) -> bool:
        """Record that a zone is evacuated; False if it was already."""
        self._kept_until.pop(zone, None)
        if zone in self._zones:
            return False
        self._zones.add(zone)
        self._ended_at.pop(zone, None)
        self._notify(zone, True)
        return True

    def end(self, zone: str) -> bool:
        """Record that the document of a zone was removed.

        Returns:
            False if the zone is kept evacuated, or was not evacuated.
        """
        if zone not in self._zones or zone in self._kept_until:
            return False
        self._zones.remove(zone)
        self._ended_at[zone] = self.clock()
        self._notify(zone, False)
        return True

    def keep(self, zone: str) -> None:
        """Keep a zone evacuated whose document a new era of the store lacks."""
        if zone in self._zones:
            self._kept_until[zone] = self.clock() + REWRITE_GRACE_S

    def end_kept(self, now: float) -> list[str]:
        """End the evacuations that were not written again in time.

        Returns:
            The zones that are no longer evacuated.
        """
        ended = [zone for zone, until in self._kept_until.items() if until <= now]
        for zone in ended:
            del self._kept_until[zone]
            self.end(zone)
        self._forget_ended(now)
        return ended

    def _forget_ended(self, now: float) -> None:
        for zone, at in list(self._ended_at.items()):
            if now - at > ENDED_TTL_S:
                del self._ended_at[zone]

    def _notify(self, zone: str, evacuated: bool) -> None:
        for listener in self.listeners:
            listener(zone, evacuated)

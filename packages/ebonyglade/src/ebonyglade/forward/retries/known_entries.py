"""How many entries share what is granted to all of them together."""

from collections.abc import Callable
from dataclasses import dataclass

from ebonyglade.ports import Clock

# A process that has started hears of all others within this time.
JOIN_S = 3.0
# Entries that are silent may still serve callers on the other side of a partition.
MEMORY_S = 3600.0


@dataclass(slots=True)
class _Largest:
    """The largest number that was recorded within the last `MEMORY_S` or somewhat more.

    Attributes:
        since: when the present period began; a period takes `MEMORY_S`.
        recorded: largest number of the present period.
        before: largest number of the period before it.
    """

    since: float
    recorded: int = 0
    before: int = 0

    @property
    def number(self) -> int:
        """The largest number."""
        return max(self.recorded, self.before)

    def record(self, number: int, now: float) -> None:
        """Record a number."""
        elapsed_s = now - self.since
        if elapsed_s >= MEMORY_S:
            self.before = self.recorded if elapsed_s < 2 * MEMORY_S else 0
            self.since, self.recorded = now, 0
        self.recorded = max(self.recorded, number)


class KnownEntries:
    """The number of entries that may serve callers, as far as it is known.

    A process that has just started, or that hears no other one, must not take what it
    has not heard of for what is not there.
    """

    def __init__(self, clock: Clock, is_only_one: Callable[[], bool]) -> None:
        """Create the count.

        Args:
            clock: seconds.
            is_only_one: returns whether this is the only entry, as far as agents or the
                settings tell.
        """
        self._clock = clock
        self._is_only_one = is_only_one
        self._started_at = clock()
        self._counted = _Largest(self._started_at)
        self._stated = _Largest(self._started_at)

    @property
    def counted(self) -> int:
        """Largest number of entries that this process itself knew lately."""
        return self._counted.number

    @property
    def number(self) -> int | None:
        """Number of entries to reckon with; None if it is not known."""
        entries = max(1, self._counted.number, self._stated.number)
        if self._is_only_one():
            return entries
        joined = self._clock() - self._started_at >= JOIN_S and entries > 1
        return entries if joined else None

    def record_counted(self, entries: int) -> None:
        """Record the number that this process knows now, itself included."""
        self._counted.record(entries, self._clock())

    def record_stated(self, entries: int) -> None:
        """Record the number that another member counted itself."""
        self._stated.record(entries, self._clock())

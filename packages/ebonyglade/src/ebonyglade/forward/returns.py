"""When a caller that comes back after a refusal asked for the first time.

A repeat is a new request to the entry that gets it, and its caller's deadline does
not tell it from a first one, since callers wait for different times. Whether it can
still be answered on time counts from the first, so that entries tell each other of
the requests that they refuse.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

REMEMBERED_S = 30.0  # longer than callers wait
MOST_REMEMBERED = 4096


@dataclass(slots=True)
class Returns:
    """First attempts of refused requests, by fingerprint."""

    _first: OrderedDict[str, float] = field(default_factory=OrderedDict)

    def refused(self, item: str, first: float) -> None:
        """Note a request that was refused and may come back.

        Args:
            item: its fingerprint.
            first: when its caller asked for the first time.
        """
        self._first[item] = min(first, self._first.get(item, first))
        self._first.move_to_end(item)
        while len(self._first) > MOST_REMEMBERED:
            self._first.popitem(last=False)

    def first(self, item: str, arrived: float) -> float:
        """Return when the caller of a request asked for the first time."""
        first = self._first.get(item, arrived)
        return first if arrived - first < REMEMBERED_S else arrived

"""When a caller that comes back after a refusal asked for the first time.

A repeat is a new request to the entry that gets it, and its caller's deadline does
not tell it from a first one, since callers wait for different times. Whether it can
still be answered on time counts from the first, so that entries tell each other of
the requests that they refuse.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

FIRST_ATTEMPT_TTL_S = 30.0  # longer than callers wait
MAX_FIRST_ATTEMPTS = 4096


@dataclass(slots=True)
class FirstAttempts:
    """First attempts of refused requests, by fingerprint."""

    _first_by_key: OrderedDict[str, float] = field(default_factory=OrderedDict)

    def record(self, key: str, first: float) -> None:
        """Note a request that was refused and may come back.

        Args:
            key: its fingerprint.
            first: when its caller asked for the first time.
        """
        self._first_by_key[key] = min(first, self._first_by_key.get(key, first))
        self._first_by_key.move_to_end(key)
        while len(self._first_by_key) > MAX_FIRST_ATTEMPTS:
            self._first_by_key.popitem(last=False)

    def first_attempt_at(self, key: str, arrived: float) -> float:
        """Return when the caller of a request asked for the first time."""
        first = self._first_by_key.get(key, arrived)
        return first if arrived - first < FIRST_ATTEMPT_TTL_S else arrived

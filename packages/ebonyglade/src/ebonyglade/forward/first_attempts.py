"""Times of the first attempts of refused requests that callers retry.

To an entry a caller's retry looks like a new request: its deadline does not tell it
from a first attempt, since callers wait for different times. Whether a request can
still be answered on time counts from the first attempt, so entries tell each other
which admitted model requests they refused without running them.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

FIRST_ATTEMPT_TTL_S = 30.0  # longer than any caller waits
MAX_FIRST_ATTEMPTS = 4096


@dataclass(slots=True)
class FirstAttempts:
    """Times of first attempts of refused requests, by fingerprint."""

    _first_by_key: OrderedDict[str, float] = field(default_factory=OrderedDict)

    def record(self, key: str, first: float) -> None:
        """Record a request that was refused and that its caller may retry.

        Args:
            key: its fingerprint.
            first: when its caller sent the first attempt.
        """
        self._first_by_key[key] = min(first, self._first_by_key.get(key, first))
        self._first_by_key.move_to_end(key)
        while len(self._first_by_key) > MAX_FIRST_ATTEMPTS:
            self._first_by_key.popitem(last=False)

    def first_attempt_at(self, key: str, arrived: float) -> float:
        """Return when the caller sent the first attempt of a request.

        This is `arrived_at` if no earlier attempt is known.
        """
        first = self._first_by_key.get(key, arrived)
        return first if arrived - first < FIRST_ATTEMPT_TTL_S else arrived

"""Limits retries of an entry to a share of its requests."""

from dataclasses import dataclass

RETRIES_PER_REQUEST = 0.08
MAX_SAVED_RETRIES = 20.0  # largest burst: as many requests as one engine holds
MIN_RETRIES_PER_S = 0.2  # allowed even where there are hardly any requests


@dataclass(slots=True)
class RetryBudget:
    """A token bucket that is filled by requests and emptied by retries.

    Over any n requests in t seconds at most `per_request` x n + `min_per_s` x t +
    `max_saved` retries are sent, so that failing endpoints do not multiply the
    load on the fleet (a retry storm).

    Attributes:
        per_request: retries that each request adds.
        max_saved: capacity of the bucket.
        min_per_s: retries added each second, without any request.
        saved: retries that may be sent now.
        refilled_at: monotonic seconds of the last refill.
    """

    per_request: float = RETRIES_PER_REQUEST
    max_saved: float = MAX_SAVED_RETRIES
    min_per_s: float = MIN_RETRIES_PER_S
    saved: float = MAX_SAVED_RETRIES
    refilled_at: float = 0.0

    def add_request(self, now: float) -> None:
        """Add the share of one request at `now`, monotonic seconds."""
        self._refill(now, self.per_request)

    def spend(self, now: float) -> bool:
        """Take one retry from the bucket; return False if it is empty."""
        self._refill(now, 0.0)
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True

    def give_back(self) -> None:
        """Return a retry that was not used."""
        self.saved = min(self.max_saved, self.saved + 1.0)

    def _refill(self, now: float, amount: float) -> None:
        amount += self.min_per_s * max(0.0, now - self.refilled_at)
        self.refilled_at = max(self.refilled_at, now)
        self.saved = min(self.max_saved, self.saved + amount)

"""How many retries an entry may send, as a share of recent requests."""

from dataclasses import dataclass

RETRY_SHARE = 0.08  # retries for each request
MOST_SAVED = 20.0  # retries at once: the requests that one engine holds
TRICKLE_PER_S = 0.2  # retries a second where there are hardly any requests


@dataclass(slots=True)
class RetryBudget:
    """A token bucket that requests fill and retries empty.

    Over any n requests in t seconds at most `share` x n + `trickle` x t + `most`
    retries are sent, so that a fleet whose endpoints fail is not loaded with a
    multiple of its requests.
    """

    share: float = RETRY_SHARE
    most: float = MOST_SAVED
    trickle: float = TRICKLE_PER_S
    saved: float = MOST_SAVED
    filled: float = 0.0

    def earn(self, now: float) -> None:
        """Note a request at `now`, monotonic seconds."""
        self._fill(now, self.share)

    def spend(self, now: float) -> bool:
        """Take one retry; False if there is none left."""
        self._fill(now, 0.0)
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True

    def _fill(self, now: float, amount: float) -> None:
        amount += self.trickle * max(0.0, now - self.filled)
        self.filled = max(self.filled, now)
        self.saved = min(self.most, self.saved + amount)

"""How many retries an entry may send, as a share of recent requests."""

from dataclasses import dataclass

RETRY_SHARE = 0.08  # retries for each request
MOST_SAVED = 10.0  # retries that may be sent at once


@dataclass(slots=True)
class RetryBudget:
    """A token bucket that requests fill and retries empty.

    Over any n requests at most `share` x n + `most` retries are sent, so that a
    fleet whose endpoints fail is not loaded with a multiple of its requests.
    """

    share: float = RETRY_SHARE
    most: float = MOST_SAVED
    saved: float = MOST_SAVED

    def earn(self) -> None:
        """Note a request."""
        self.saved = min(self.most, self.saved + self.share)

    def spend(self) -> bool:
        """Take one retry; False if there is none left."""
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True

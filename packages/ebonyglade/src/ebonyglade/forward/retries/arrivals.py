"""What of one request has reached endpoints, as the retry budget counts it."""

from dataclasses import dataclass


@dataclass(slots=True)
class RequestArrivals:
    """Arrivals of one request at endpoints.

    The first arrival is free, and so is the first prefill that an endpoint accepts.
    Each other one is a repeat and uses a retry, also if the endpoint rejects it.

    Attributes:
        counted: arrivals that count, the first one included.
        prefilled: whether an endpoint accepted a prefill.
        retries: retries taken from the budget that no repeat has used.
    """

    counted: int = 0
    prefilled: bool = False
    retries: int = 0

    @property
    def repeats(self) -> int:
        """Number of arrivals that used a retry."""
        return max(0, self.counted - 1)

    def needed(self, prefill: bool, rejection_likely: bool = False) -> int:
        """Return how many unused retries a request must have before it is sent.

        The run after a prefill is a repeat, too, unless it is the first prefill and
        its endpoint accepts it.

        Args:
            prefill: whether its prompt is to be prefilled.
            rejection_likely: whether a prefill is likely to be rejected.
        """
        repeated = self.counted > 0
        run_is_repeat = repeated or self.prefilled or rejection_likely
        return int(repeated) + int(prefill and run_is_repeat)

    def begin(self) -> bool:
        """Count an arrival; False if it is a repeat and no retry is left for it."""
        if self.counted:
            if not self.retries:
                return False
            self.retries -= 1
        self.counted += 1
        return True

    def withdraw(self) -> None:
        """Uncount an arrival that did not take place."""
        self.counted -= 1
        if self.counted:
            self.retries += 1

    def accept_prefill(self) -> None:
        """Record that an endpoint accepted the prefill that was counted last."""
        if not self.prefilled:
            self.prefilled = True
            self.withdraw()

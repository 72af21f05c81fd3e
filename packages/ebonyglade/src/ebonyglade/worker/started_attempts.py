"""Record of started attempts, so that a duplicate message starts no second job."""

from collections import deque

RETENTION_S = 120.0  # longer than a message can be delayed


class StartedAttempts:
    """Remembers started attempts for longer than their messages can be delayed.

    A duplicate message must not be answered: the answer to the first message is
    already sent, and a second one, in particular one that says `NOT_RUN`, could
    arrive before it.
    """

    def __init__(self) -> None:
        self._attempts: set[str] = set()
        self._by_age: deque[tuple[float, str]] = deque()

    def __contains__(self, attempt: str) -> bool:
        return attempt in self._attempts

    def add(self, attempt: str, now: float) -> None:
        """Record that an attempt starts."""
        if attempt in self._attempts:
            return
        self._attempts.add(attempt)
        self._by_age.append((now, attempt))

    def forget(self, now: float) -> None:
        """Forget the attempts whose messages can't be in transit any more."""
        while self._by_age and self._by_age[0][0] <= now - RETENTION_S:
            self._attempts.discard(self._by_age.popleft()[1])

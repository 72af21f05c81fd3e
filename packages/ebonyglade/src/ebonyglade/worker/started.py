"""Engine jobs that were started, so that a message that comes twice starts none."""

from collections import deque

REMEMBERED_S = 120.0  # longer than a message may be late


class Started:
    """Remembers attempts for longer than their messages may be late.

    The answer to the first message went out already; a second answer, above all
    one that says `NOT_RUN`, could overtake it.
    """

    def __init__(self) -> None:
        self._attempts: set[str] = set()
        self._order: deque[tuple[float, str]] = deque()

    def __contains__(self, attempt: str) -> bool:
        return attempt in self._attempts

    def add(self, attempt: str, now: float) -> None:
        """Remember an attempt that starts."""
        if attempt in self._attempts:
            return
        self._attempts.add(attempt)
        self._order.append((now, attempt))

    def forget(self, now: float) -> None:
        """Forget the attempts whose messages can't be under way any more."""
        while self._order and self._order[0][0] <= now - REMEMBERED_S:
            self._attempts.discard(self._order.popleft()[1])

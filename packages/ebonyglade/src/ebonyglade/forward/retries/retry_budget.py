"""The published limit on retries, and the part of it that comes with own requests."""

from collections import deque
from dataclasses import dataclass, field

# Share of the limit that all entries use together. The rest covers retries that are
# sent some time after they were taken, and what two processes grant that both hold
# themselves for the one that does.
USED_SHARE = 0.7


@dataclass(frozen=True, slots=True)
class RetryBudgetLimits:
    """The published limit on a service's retries.

    Attributes:
        ratio: retries per request.
        window_s: sliding window in which both are counted.
        slack: additional retries in the window, over all entries.
    """

    ratio: float
    window_s: float
    slack: float


@dataclass(slots=True)
class _Window:
    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)


@dataclass(slots=True)
class OwnRetries:
    """Retries that come with the requests of this entry, by service.

    They need no knowledge of other entries.
    """

    limits: RetryBudgetLimits
    _windows: dict[str, _Window] = field(default_factory=dict)

    def record_request(self, service: str, now: float) -> None:
        """Record a caller's request."""
        self._window(service, now).requests.append(now)

    def take(self, service: str, now: float) -> bool:
        """Take one retry; False if none is left."""
        window = self._window(service, now)
        granted = USED_SHARE * self.limits.ratio * len(window.requests)
        if len(window.retries) + 1 > granted:
            return False
        window.retries.append(now)
        return True

    def give_back(self, service: str) -> bool:
        """Return a retry; False if none was taken lately."""
        window = self._windows.get(service)
        if window is None or not window.retries:
            return False
        window.retries.pop()
        return True

    def counts(self, service: str, now: float) -> tuple[int, int]:
        """Return the requests and the retries taken in the window."""
        window = self._window(service, now)
        return len(window.requests), len(window.retries)

    def _window(self, service: str, now: float) -> _Window:
        window = self._windows.setdefault(service, _Window())
        for times in (window.requests, window.retries):
            while times and times[0] <= now - self.limits.window_s:
                times.popleft()
        return window

"""Retry budget shared by all entries."""

from collections import deque
from dataclasses import dataclass, field


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


# Share of the limit that the entries use together. The rest covers the retries of
# entries that this one does not know.
USED_SHARE = 0.7


@dataclass(slots=True)
class _Window:
    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)


@dataclass(slots=True)
class FleetRetryBudget:
    """Counts requests and retries of each service at this entry."""

    limits: RetryBudgetLimits
    _windows: dict[str, _Window] = field(default_factory=dict)

    def record_request(self, service: str, now: float) -> None:
        """Record a caller's request."""
        self._window(service, now).requests.append(now)

    def take_retry(self, service: str, now: float, entries: int) -> bool:
        """Take one retry; False if none is left.

        Args:
            service: service of the request.
            now: seconds.
            entries: number of entries that share the slack.
        """
        window = self._window(service, now)
        limits = self.limits
        granted = limits.ratio * len(window.requests) + limits.slack / max(1, entries)
        if len(window.retries) + 1 > USED_SHARE * granted:
            return False
        window.retries.append(now)
        return True

    def return_retry(self, service: str) -> None:
        """Return a retry that was not used."""
        window = self._windows.get(service)
        if window is not None and window.retries:
            window.retries.pop()

    def log_fields(self, service: str, now: float) -> dict[str, int]:
        """Return the log fields that tell what a service's budget is reckoned from."""
        window = self._window(service, now)
        return {
            "requests_in_window": len(window.requests),
            "retries_in_window": len(window.retries),
        }

    def _window(self, service: str, now: float) -> _Window:
        window = self._windows.setdefault(service, _Window())
        for times in (window.requests, window.retries):
            while times and times[0] <= now - self.limits.window_s:
                times.popleft()
        return window

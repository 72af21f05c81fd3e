"""How many requests may be sent once more, over all entries."""

from collections import deque
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class BudgetTerms:
    """The published bound on repeats of a service.

    Attributes:
        ratio: repeats for each request.
        window_s: span in which both are counted.
        slack: repeats that are granted besides, over all entries.
    """

    ratio: float
    window_s: float
    slack: float


# Part of the bound that the entries use together. The rest covers the repeats
# of entries that this one does not know.
USED_SHARE = 0.7


@dataclass(slots=True)
class _Window:
    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)


@dataclass(slots=True)
class FleetBudget:
    """Counts requests and repeats of each service at this entry."""

    terms: BudgetTerms
    _windows: dict[str, _Window] = field(default_factory=dict)

    def record_request(self, service: str, now: float) -> None:
        """Note a caller's request."""
        self._window(service, now).requests.append(now)

    def take_retry(self, service: str, now: float, entries: int) -> bool:
        """Take one repeat; False if none is left.

        Args:
            service: where it is sent.
            now: seconds.
            entries: entries that share the slack.
        """
        window = self._window(service, now)
        terms = self.terms
        granted = terms.ratio * len(window.requests) + terms.slack / max(1, entries)
        if len(window.retries) + 1 > USED_SHARE * granted:
            return False
        window.retries.append(now)
        return True

    def _window(self, service: str, now: float) -> _Window:
        window = self._windows.setdefault(service, _Window())
        for times in (window.requests, window.retries):
            while times and times[0] <= now - self.terms.window_s:
                times.popleft()
        return window

"""Endpoints that failed recently, which are used only if no others are left."""

from collections.abc import Iterable
from dataclasses import dataclass, field

FIRST_EJECTION_S = 0.5
MAX_EJECTION_S = 8.0
FORGET_AFTER_S = 30.0


@dataclass(slots=True)
class _Ejection:
    until: float
    seconds: float
    failed: float


@dataclass(slots=True)
class Ejections:
    """Agents not chosen while others are available, each until its ejection ends.

    An endpoint that refuses at once looks idle and would attract more requests
    than the endpoints that work. Each further failure doubles the ejection time.
    """

    _ejected: dict[str, _Ejection] = field(default_factory=dict)

    def record_failure(self, name: str, now: float) -> None:
        """Eject an endpoint that failed, unless it is ejected already."""
        previous = self._ejected.get(name)
        if previous is not None and previous.until > now:
            return
        seconds = FIRST_EJECTION_S
        if previous is not None and now - previous.failed < FORGET_AFTER_S:
            seconds = min(2 * previous.seconds, MAX_EJECTION_S)
        self._ejected[name] = _Ejection(now + seconds, seconds, now)

    def record_success(self, names: Iterable[str]) -> None:
        """Forget the failures of endpoints that answered."""
        for name in names:
            self._ejected.pop(name, None)

    def active(self, now: float) -> set[str]:
        """Return the ejected endpoints, and forget old failures."""
        old = [
            name
            for name, item in self._ejected.items()
            if now - item.failed >= FORGET_AFTER_S
        ]
        for name in old:
            del self._ejected[name]
        return {name for name, item in self._ejected.items() if item.until > now}

    def snapshot(self) -> "Ejections":
        """Return a copy that changes independently."""
        return Ejections(dict(self._ejected))

    def time_to_next_return(self, now: float) -> float | None:
        """Return the seconds until the next ejection ends, or None."""
        left = [item.until - now for item in self._ejected.values()]
        return min((seconds for seconds in left if seconds > 0), default=None)

"""Endpoints that failed lately and are left alone for a while."""

from collections.abc import Iterable
from dataclasses import dataclass, field

FIRST_EJECTION_S = 0.5
LONGEST_EJECTION_S = 8.0
FORGIVEN_AFTER_S = 30.0


@dataclass(slots=True)
class _Ejection:
    until: float
    seconds: float
    failed: float


@dataclass(slots=True)
class Ejections:
    """Agents by the time until which they get no first choice.

    An endpoint that refuses at once looks idle, so that it would draw more
    requests than the ones that work. Each further failure doubles the time.
    """

    _ejected: dict[str, _Ejection] = field(default_factory=dict)

    def failed(self, name: str, now: float) -> None:
        """Note a failure of an endpoint."""
        known = self._ejected.get(name)
        if known is not None and known.until > now:
            return
        seconds = FIRST_EJECTION_S
        if known is not None and now - known.failed < FORGIVEN_AFTER_S:
            seconds = min(2 * known.seconds, LONGEST_EJECTION_S)
        self._ejected[name] = _Ejection(now + seconds, seconds, now)

    def worked(self, names: Iterable[str]) -> None:
        """Forget the failures of endpoints that work again."""
        for name in names:
            self._ejected.pop(name, None)

    def active(self, now: float) -> set[str]:
        """Return the endpoints to leave alone, and forget old failures."""
        old = [
            name
            for name, item in self._ejected.items()
            if now - item.failed >= FORGIVEN_AFTER_S
        ]
        for name in old:
            del self._ejected[name]
        return {name for name, item in self._ejected.items() if item.until > now}

    def wait(self, now: float) -> float | None:
        """Return the seconds until an ejected endpoint is tried again."""
        left = [item.until - now for item in self._ejected.values()]
        return min((seconds for seconds in left if seconds > 0), default=None)

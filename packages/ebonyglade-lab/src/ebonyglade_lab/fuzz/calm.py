"""How long each instance has been free of faults."""

from collections import Counter
from dataclasses import dataclass, field


@dataclass(slots=True)
class Calm:
    """Counts the faults that are on each instance and when the last ended."""

    _active: Counter = field(default_factory=Counter)
    _ended: dict[str, float] = field(default_factory=dict)
    _all_ended: float = 0.0

    def disturb(self, instances: list[str]) -> None:
        """Note the begin of a fault on some instances."""
        self._active.update(instances)

    def settle(self, instances: list[str], now: float) -> None:
        """Note the end of a fault."""
        self._active.subtract(instances)
        self.shake(instances, now)

    def shake(self, instances: list[str], now: float) -> None:
        """Note a fault that ends by itself at `now`."""
        self._ended.update(dict.fromkeys(instances, now))
        self._all_ended = now

    def seconds(self, instance: str, now: float) -> float:
        """Return for how long an instance has been undisturbed."""
        if self._active[instance] > 0:
            return 0.0
        return now - self._ended.get(instance, 0.0)

    def everywhere(self, now: float) -> float:
        """Return for how long no instance has been disturbed."""
        if any(count > 0 for count in self._active.values()):
            return 0.0
        return now - self._all_ended

"""Tracks how long each instance has been free of injected faults."""

from collections import Counter
from dataclasses import dataclass, field


@dataclass(slots=True)
class FaultHistory:
    """Active faults of each instance, and the time when the last one ended."""

    _active: Counter = field(default_factory=Counter)
    _ended_at: dict[str, float] = field(default_factory=dict)
    _last_ended_at: float = 0.0

    def fault_began(self, instances: list[str]) -> None:
        """Record that a fault began on some instances."""
        self._active.update(instances)

    def fault_ended(self, instances: list[str], now: float) -> None:
        """Record that a fault ended on some instances."""
        self._active.subtract(instances)
        self.record_fault_until(instances, now)

    def record_fault_until(self, instances: list[str], end: float) -> None:
        """Record a fault whose end is known: it is over at `end`."""
        self._ended_at.update(dict.fromkeys(instances, end))
        self._last_ended_at = end

    def fault_free_s(self, instance: str, now: float) -> float:
        """Return the seconds for which an instance has had no fault."""
        if self._active[instance] > 0:
            return 0.0
        return now - self._ended_at.get(instance, 0.0)

    def fleet_fault_free_s(self, now: float) -> float:
        """Return the seconds for which no instance has had a fault."""
        if any(count > 0 for count in self._active.values()):
            return 0.0
        return now - self._last_ended_at

"""Running estimates of a high quantile, such as that of service times."""

from dataclasses import dataclass, field

STEP = 0.1
QUANTILE = 0.9


@dataclass(slots=True)
class QuantileEstimate:
    """Tracks the value below which a share of `QUANTILE` of the samples lies."""

    value: float

    def add(self, sample: float) -> None:
        """Move far up for a sample above the value, and a little down for others."""
        step = max(STEP * self.value, STEP)
        if sample > self.value:
            self.value = min(sample, self.value + step * QUANTILE / (1 - QUANTILE))
        else:
            self.value = max(sample, self.value - step * (1 - QUANTILE))


@dataclass(slots=True)
class Estimates:
    """Estimates by key; a new key starts at the given initial value."""

    _by_key: dict[str, QuantileEstimate] = field(default_factory=dict)

    def get(self, key: str, initial: float) -> float:
        """Return the estimate for a key, or `initial` if it has no samples."""
        known = self._by_key.get(key)
        return initial if known is None else known.value

    def add(self, key: str, sample: float, initial: float) -> None:
        """Add a sample for a key."""
        self._by_key.setdefault(key, QuantileEstimate(initial)).add(sample)

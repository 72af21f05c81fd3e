"""Running estimates of answer lengths and service times."""

from dataclasses import dataclass, field

STEP = 0.1
HIGH_SHARE = 0.9


@dataclass(slots=True)
class HighEstimate:
    """Follows the value that `HIGH_SHARE` of the samples stay under."""

    value: float

    def add(self, sample: float) -> None:
        """Take a sample: move up far if it is above, down a little if not."""
        step = max(STEP * self.value, STEP)
        if sample > self.value:
            self.value = min(sample, self.value + step * HIGH_SHARE / (1 - HIGH_SHARE))
        else:
            self.value = max(sample, self.value - step * (1 - HIGH_SHARE))


@dataclass(slots=True)
class Estimates:
    """Estimates by key; a new key starts at its given value."""

    _by_key: dict[str, HighEstimate] = field(default_factory=dict)

    def get(self, key: str, start: float) -> float:
        """Return the estimate of a key."""
        known = self._by_key.get(key)
        return start if known is None else known.value

    def add(self, key: str, sample: float, start: float) -> None:
        """Take a sample of a key."""
        self._by_key.setdefault(key, HighEstimate(start)).add(sample)

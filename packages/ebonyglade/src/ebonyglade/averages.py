"""Moving averages of observed samples."""

from dataclasses import dataclass

SMOOTHING_FACTOR = 0.1  # weight of a new sample in a moving average


@dataclass(slots=True)
class MovingAverage:
    """Exponentially weighted moving average; zero before the first sample."""

    value: float = 0.0

    def observe(self, sample: float) -> None:
        """Add one sample."""
        if not self.value:
            self.value = sample
        self.value += SMOOTHING_FACTOR * (sample - self.value)

"""Counters, gauges and histograms, rendered as plain text."""

from collections import Counter
from collections.abc import Callable

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 95.0, 99.0, 100.0)


class Metrics:
    """All metrics of one process."""

    def __init__(self) -> None:
        self._counters: Counter[str] = Counter()
        self._gauges: dict[str, Callable[[], float]] = {}
        self._histograms: dict[str, HdrHistogram] = {}

    def count(self, name: str, amount: float = 1) -> None:
        """Add to a counter."""
        self._counters[name] += amount

    def counter(self, name: str) -> float:
        """Return a counter's value."""
        return self._counters[name]

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge; `read` is called whenever the metrics are rendered."""
        self._gauges[name] = read

    def observe(self, name: str, seconds: float) -> None:
        """Record a duration."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
            self._histograms[name] = histogram
        histogram.record_value(max(LOWEST_US, int(seconds * 1e6)))

    def quantile(self, name: str, percent: float) -> float:
        """Return a percentile of a duration in seconds; zero without records."""
        histogram = self._histograms.get(name)
        return histogram.get_value_at_percentile(percent) / 1e6 if histogram else 0.0

    def render(self) -> str:
        """Return all metrics as text lines of name and value, as for Prometheus."""
        lines = [f"{name} {value}" for name, value in sorted(self._counters.items())]
        lines += [f"{name} {read()}" for name, read in sorted(self._gauges.items())]
        for name, histogram in sorted(self._histograms.items()):
            lines.append(f"{name}_count {histogram.get_total_count()}")
            lines += [
                f'{name}_seconds{{quantile="{percent / 100}"}} '
                f"{self.quantile(name, percent)}"
                for percent in QUANTILES
            ]
        return "\n".join(lines) + "\n"

"""Lines fitted to measured points by least squares."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LinearFit:
    """A least-squares line through values measured at several sizes.

    Attributes:
        name: name of the measured value.
        unit: unit of the measured value.
        size_unit: unit of the size.
        sizes: sizes at which the value was measured.
        values: measured value at each size.
    """

    name: str
    unit: str
    size_unit: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]

    @property
    def slope(self) -> float:
        """Growth of the value for each unit of size."""
        mean_x = sum(self.sizes) / len(self.sizes)
        mean_y = sum(self.values) / len(self.values)
        pairs = zip(self.sizes, self.values, strict=True)
        covariance = sum((x - mean_x) * (y - mean_y) for x, y in pairs)
        return covariance / sum((x - mean_x) ** 2 for x in self.sizes)

    @property
    def intercept(self) -> float:
        """Value at size zero."""
        mean_x = sum(self.sizes) / len(self.sizes)
        return sum(self.values) / len(self.values) - self.slope * mean_x

    def value_at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.intercept + self.slope * size


def measure_fit(
    name: str,
    unit: str,
    size_unit: str,
    sizes: Sequence[int],
    value: Callable[[int], float],
) -> LinearFit:
    """Call `value` for each size and return the fitted line."""
    return LinearFit(
        name, unit, size_unit, tuple(sizes), tuple(value(size) for size in sizes)
    )

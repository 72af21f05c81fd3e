"""Straight lines through measured points."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Slope:
    """A line through points measured at several sizes.

    Attributes:
        name: what was measured.
        unit: unit of the measured value.
        per: what one step of size is.
        sizes: sizes that were measured.
        values: what was measured at each.
    """

    name: str
    unit: str
    per: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]

    @property
    def slope(self) -> float:
        """Growth of the value with one step of size."""
        mean_x = sum(self.sizes) / len(self.sizes)
        mean_y = sum(self.values) / len(self.values)
        pairs = zip(self.sizes, self.values, strict=True)
        over = sum((x - mean_x) * (y - mean_y) for x, y in pairs)
        return over / sum((x - mean_x) ** 2 for x in self.sizes)

    @property
    def base(self) -> float:
        """Value at size zero."""
        mean_x = sum(self.sizes) / len(self.sizes)
        return sum(self.values) / len(self.values) - self.slope * mean_x

    def at(self, size: float) -> float:
        """Return the value that the line gives for a size."""
        return self.base + self.slope * size


def measure(
    name: str,
    unit: str,
    per: str,
    sizes: Sequence[int],
    value: Callable[[int], float],
) -> Slope:
    """Return the line through what `value` gives at each size."""
    return Slope(name, unit, per, tuple(sizes), tuple(value(size) for size in sizes))

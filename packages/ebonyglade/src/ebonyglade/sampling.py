"""Random samples for choices by load, such as the better of two."""

from collections.abc import Callable
from typing import TypeVar

SAMPLE_SIZE = 2  # candidates that are compared
MAX_DRAWS = 8  # random draws for one sample

Item = TypeVar("Item")


def draw_distinct(
    draw: Callable[[], Item], is_usable: Callable[[Item], bool] = lambda item: True
) -> list[Item]:
    """Return up to `SAMPLE_SIZE` different usable items in the order of their drawing.

    Args:
        draw: draws one item at random.
        is_usable: whether an item may be in the sample.
    """
    drawn: list[Item] = []
    for _ in range(MAX_DRAWS):
        item = draw()
        if item not in drawn and is_usable(item):
            drawn.append(item)
            if len(drawn) == SAMPLE_SIZE:
                break
    return drawn

"""An event loop on a virtual clock, which jumps to the next scheduled call."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class _VirtualClockSelector(selectors.SelectSelector):
    """Advances the loop's clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list:
        """Advance the clock by `timeout` seconds at once."""
        if timeout is None:
            raise RuntimeError(
                "deadlock: no callback is scheduled on the virtual clock"
            )
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs coroutines on a virtual clock, deterministically."""

    def __init__(self) -> None:
        self._clock_selector = _VirtualClockSelector()
        super().__init__(self._clock_selector)

    def time(self) -> float:
        """Return virtual seconds."""
        return self._clock_selector.now


def run(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine on a new virtual loop and return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coroutine)

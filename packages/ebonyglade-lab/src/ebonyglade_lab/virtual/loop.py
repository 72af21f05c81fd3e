"""An event loop whose clock jumps to the next thing to do."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class _Jumping(selectors.SelectSelector):
    """Waits for nothing and moves the loop's clock instead."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list:
        """Advance the clock by `timeout` seconds at once."""
        if timeout is None:
            raise RuntimeError("nothing is left to do on the virtual clock")
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs coroutines on a virtual clock, the same way at every run."""

    def __init__(self) -> None:
        self._jumping = _Jumping()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return virtual seconds."""
        return self._jumping.now


def run(work: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine on a new virtual loop and return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(work)

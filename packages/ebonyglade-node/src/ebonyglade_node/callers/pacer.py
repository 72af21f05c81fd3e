"""Turns of connections whose bytes are costly to parse."""

import asyncio
from collections import deque
from collections.abc import Callable

COSTLY_LINES = 256  # in one read: short fields, or chunks of a few bytes
COSTLY_READ_BYTES = 4 * 1024  # read at a time from a connection that sent such
GAP_S = 0.002  # between two turns, for everything else


class Pacer:
    """Lets such connections be read one at a time, with gaps for all others.

    Otherwise a crowd of them takes all of the processor for as long as it sends.
    """

    def __init__(self) -> None:
        self._waiting: deque[Callable[[], None]] = deque()

    def wait(self, take_turn: Callable[[], None]) -> None:
        """Call `take_turn` when it is this connection's turn."""
        self._waiting.append(take_turn)
        if len(self._waiting) == 1:
            self._schedule()

    def _schedule(self) -> None:
        asyncio.get_running_loop().call_later(GAP_S, self._next)

    def _next(self) -> None:
        take_turn = self._waiting.popleft()
        if self._waiting:
            self._schedule()
        take_turn()

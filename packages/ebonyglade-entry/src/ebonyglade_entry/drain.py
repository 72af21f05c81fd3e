"""Graceful shutdown of an HTTP server, and its count of active requests."""

import asyncio
import logging
from collections.abc import Iterator
from contextlib import contextmanager
from enum import Enum

logger = logging.getLogger(__name__)


class ServingState(Enum):
    """Whether new requests of callers are served."""

    OPEN = "open"
    LEAVING = "leaving"  # reports not ready, but still serves new requests
    CLOSED = "closed"  # refuses new requests, finishes active ones


class RequestDrainer:
    """Counts active requests and shuts the server down gracefully.

    A load balancer takes seconds to notice that an instance is not ready.
    Requests that arrive in that time are still served. After it the server goes on
    reading, and refuses what callers still send on their open connections, until none
    has sent a request for `quiet_s`.

    Args:
        leave_s: time for which requests are still served.
        drain_s: longest time after it for active requests and open connections.
        quiet_s: time without a new request after which the server may stop.
    """

    def __init__(self, leave_s: float, drain_s: float, quiet_s: float = 0.0) -> None:
        self._leave_s = leave_s
        self._drain_s = drain_s
        self._quiet_s = quiet_s
        self._last_started = float("-inf")
        self._state = ServingState.OPEN
        self._open_requests = 0
        self._uploads = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def state(self) -> ServingState:
        """Whether new requests are served."""
        return self._state

    @property
    def open_requests(self) -> int:
        """Number of active requests."""
        return self._open_requests

    @property
    def whole_requests(self) -> int:
        """Number of active requests whose body is whole.

        Who keeps a body back is not counted, and so keeps nobody out.
        """
        return self._open_requests - self._uploads

    @contextmanager
    def upload(self) -> Iterator[None]:
        """Count a request as one whose body is not whole."""
        self._uploads += 1
        try:
            yield
        finally:
            self._uploads -= 1

    def request_started(self) -> None:
        """Count a request that has started."""
        self._open_requests += 1
        self._last_started = asyncio.get_running_loop().time()
        self._idle.clear()

    def request_finished(self) -> None:
        """Stop counting a request that is finished."""
        self._open_requests -= 1
        if self._open_requests == 0:
            self._idle.set()

    async def drain(self) -> None:
        """Report not ready, refuse new requests, then wait for the active ones."""
        self._state = ServingState.LEAVING
        await asyncio.sleep(self._leave_s)
        self._state = ServingState.CLOSED
        try:
            async with asyncio.timeout(self._drain_s):
                await self._wait_until_quiet()
        except TimeoutError:
            if self._open_requests == 0:
                return
            logger.error(
                "shutdown timeout: responses were cut off",
                extra={"open": self._open_requests},
            )

    async def _wait_until_quiet(self) -> None:
        loop = asyncio.get_running_loop()
        closed_at = loop.time()
        while True:
            await self._idle.wait()
            quiet_at = max(self._last_started, closed_at) + self._quiet_s
            left_s = quiet_at - loop.time()
            if left_s <= 0:
                return
            await asyncio.sleep(left_s)

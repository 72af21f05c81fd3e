"""Requests under way, and the order of a planned stop."""

import asyncio
import logging
from enum import Enum

logger = logging.getLogger(__name__)


class Door(Enum):
    """State of the callers' door."""

    OPEN = "open"
    LEAVING = "leaving"  # not ready any more, but requests are still served
    CLOSED = "closed"  # new requests are refused, those under way go on


class Doorkeeper:
    """Counts requests under way and takes the door through a planned stop.

    A balancer takes seconds to notice that an instance is not ready, so
    requests that still arrive in that time are served.
    """

    def __init__(self, leave_s: float, drain_s: float) -> None:
        self._leave_s = leave_s
        self._drain_s = drain_s
        self._door = Door.OPEN
        self._open_requests = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def door(self) -> Door:
        """State of the door."""
        return self._door

    @property
    def open_requests(self) -> int:
        """Requests under way."""
        return self._open_requests

    def enter(self) -> None:
        """Count a request that has begun."""
        self._open_requests += 1
        self._idle.clear()

    def leave(self) -> None:
        """Count a request that is over."""
        self._open_requests -= 1
        if self._open_requests == 0:
            self._idle.set()

    async def drain(self) -> None:
        """Leave the balancer, close the door and wait for the last answer."""
        self._door = Door.LEAVING
        await asyncio.sleep(self._leave_s)
        self._door = Door.CLOSED
        try:
            async with asyncio.timeout(self._drain_s):
                await self._idle.wait()
        except TimeoutError:
            logger.error("answers were cut off", extra={"open": self._open_requests})

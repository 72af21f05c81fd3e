"""Who goes first where model requests wait for memory."""

import asyncio
import heapq
import itertools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field


@dataclass(order=True, slots=True)
class _Place:
    priority: int
    order: int
    called: asyncio.Event = field(compare=False, default_factory=asyncio.Event)
    left: bool = field(compare=False, default=False)


class Line:
    """One request at a time asks for memory: the most urgent, then the oldest."""

    def __init__(self) -> None:
        self._places: list[_Place] = []
        self._order = itertools.count()
        self._freed = asyncio.Event()

    def __len__(self) -> int:
        return sum(not place.left for place in self._places)

    @asynccontextmanager
    async def turn(self, priority: int) -> AsyncIterator[None]:
        """Wait for a request's turn, and hold it until the block is left."""
        place = _Place(priority, next(self._order))
        heapq.heappush(self._places, place)
        self._call_first()
        try:
            await place.called.wait()
            yield
        finally:
            place.left = True
            self._call_first()

    def freed(self) -> None:
        """Tell the first in line that memory may be free."""
        self._freed.set()

    async def pause(self, longest: float) -> None:
        """Wait until memory may be free, at most so many seconds."""
        self._freed.clear()
        try:
            async with asyncio.timeout(longest):
                await self._freed.wait()
        except TimeoutError:
            return

    def _call_first(self) -> None:
        while self._places and self._places[0].left:
            heapq.heappop(self._places)
        if self._places and not any(item.called.is_set() for item in self._live()):
            self._places[0].called.set()

    def _live(self) -> list[_Place]:
        return [place for place in self._places if not place.left]

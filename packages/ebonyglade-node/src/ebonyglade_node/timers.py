"""Drives the timer service and notices when the process was paused."""

import asyncio
import logging
from collections.abc import Callable

from mode import Service

from ebonyglade.timer import TimerService

logger = logging.getLogger(__name__)

PAUSE_S = 1.0  # a gap between two rounds that counts as a pause
LONGEST_SLEEP_S = 0.1


class TimerRunner(Service):
    """Calls due subscribers; tells listeners of pauses before anything else."""

    def __init__(self, timers: TimerService, clock: Callable[[], float]) -> None:
        super().__init__()
        self._timers = timers
        self._clock = clock
        self.on_pause: list[Callable[[float], None]] = []

    @Service.task
    async def _run(self) -> None:
        last = self._clock()
        while not self.should_stop:
            now = self._clock()
            if now - last > PAUSE_S:
                self._tell_pause(now - last)
            last = now
            self._timers.fire(now)
            await asyncio.sleep(self._timers.delay(now, LONGEST_SLEEP_S))

    def _tell_pause(self, gap: float) -> None:
        logger.warning("process was paused", extra={"seconds": round(gap, 3)})
        for listener in self.on_pause:
            listener(gap)

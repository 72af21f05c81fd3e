"""Runs the timer service and checks for pauses of the process."""

import asyncio
import logging

from mode import Service

from ebonyglade.context import Context
from ebonyglade.events import Event

logger = logging.getLogger(__name__)

MAX_SLEEP_S = 0.25


class TimerRunner(Service):
    """Calls the due subscribers; a pause is reported before them."""

    def __init__(self, context: Context) -> None:
        super().__init__()
        self._context = context
        context.events.listen(Event.PAUSED, _log_pause)

    @Service.task
    async def _run(self) -> None:
        timers = self._context.timers
        while not self.should_stop:
            self._context.pauses.check()
            now = self._context.clock()
            timers.run_due(now)
            await asyncio.sleep(timers.delay(now, MAX_SLEEP_S))


def _log_pause(gap: float) -> None:
    logger.warning("process was paused", extra={"seconds": round(gap, 3)})

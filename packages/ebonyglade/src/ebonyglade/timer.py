"""A timer service without a clock of its own.

Parts subscribe with an interval; the owner of the clock calls `fire` and sleeps
for `delay` seconds in between.
"""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

TimerCallback = Callable[[float], None]


@dataclass(slots=True)
class Subscription:
    """Subscription of one callback; `cancel` ends it."""

    interval: float
    callback: TimerCallback
    active: bool = True

    def cancel(self) -> None:
        """Stop calling the callback."""
        self.active = False


@dataclass(order=True, slots=True)
class _ScheduledCall:
    at: float
    order: int
    subscription: Subscription = field(compare=False)


class TimerService:
    """Calls subscribers at their intervals.

    A subscriber that is called late is called once, not once for each missed
    interval.

    Attributes:
        on_error: called with what a subscriber raises, which then is called again at
            its interval; None to raise it.
    """

    def __init__(self, on_error: Callable[[Exception], None] | None = None) -> None:
        self.on_error = on_error
        self._heap: list[_ScheduledCall] = []
        self._order = itertools.count()

    def subscribe(
        self, interval: float, callback: TimerCallback, now: float
    ) -> Subscription:
        """Call `callback(now)` every `interval` seconds, first after one interval."""
        subscription = Subscription(interval, callback)
        self._push(now + interval, subscription)
        return subscription

    def run_due(self, now: float) -> None:
        """Call each subscriber that is due."""
        while self._heap and self._heap[0].at <= now:
            subscription = heapq.heappop(self._heap).subscription
            if not subscription.active:
                continue
            self._push(now + subscription.interval, subscription)
            try:
                subscription.callback(now)
            except Exception as error:
                if self.on_error is None:
                    raise
                self.on_error(error)

    def delay(self, now: float, longest: float = 1.0) -> float:
        """Return the seconds until the next subscriber is due, at most `longest`."""
        if not self._heap:
            return longest
        return min(longest, max(0.0, self._heap[0].at - now))

    def _push(self, at: float, subscription: Subscription) -> None:
        heapq.heappush(self._heap, _ScheduledCall(at, next(self._order), subscription))

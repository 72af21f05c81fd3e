"""A timer service without a clock of its own.

Parts subscribe with an interval; whoever owns the clock calls `fire` and
sleeps for `delay` seconds in between.
"""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

Tick = Callable[[float], None]


@dataclass(slots=True)
class Subscription:
    """One subscriber; `cancel` ends it."""

    interval: float
    callback: Tick
    active: bool = True

    def cancel(self) -> None:
        """Stop calling the subscriber."""
        self.active = False


@dataclass(order=True, slots=True)
class _Due:
    at: float
    order: int
    subscription: Subscription = field(compare=False)


class TimerService:
    """Calls subscribers at their intervals.

    A subscriber that was overslept is called once and not once for each
    interval that was missed.
    """

    def __init__(self) -> None:
        self._heap: list[_Due] = []
        self._order = itertools.count()

    def subscribe(self, interval: float, callback: Tick, now: float) -> Subscription:
        """Call `callback(now)` every `interval` seconds, first after one interval."""
        subscription = Subscription(interval, callback)
        self._push(now + interval, subscription)
        return subscription

    def fire(self, now: float) -> None:
        """Call each subscriber whose time has come."""
        while self._heap and self._heap[0].at <= now:
            subscription = heapq.heappop(self._heap).subscription
            if not subscription.active:
                continue
            self._push(now + subscription.interval, subscription)
            subscription.callback(now)

    def delay(self, now: float, longest: float = 1.0) -> float:
        """Return the seconds until the next subscriber is due, at most `longest`."""
        if not self._heap:
            return longest
        return min(longest, max(0.0, self._heap[0].at - now))

    def _push(self, at: float, subscription: Subscription) -> None:
        heapq.heappush(self._heap, _Due(at, next(self._order), subscription))

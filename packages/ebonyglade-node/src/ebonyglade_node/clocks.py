"""Clocks of the process."""

import time


def suspended_clock() -> float:
    """Return seconds of a clock that runs on while the machine is suspended.

    The event loop's monotonic clock stands still then, so that an age measured
    by it would come out too small.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)

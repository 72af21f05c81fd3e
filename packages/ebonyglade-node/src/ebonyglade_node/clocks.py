"""System clocks."""

import time


def boottime_clock() -> float:
    """Return the seconds of a clock that also counts while the machine is suspended.

    The event loop's monotonic clock stops during a suspension, so ages measured
    with it would be too small.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)

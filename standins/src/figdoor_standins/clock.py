"""A clock that all processes of one machine share."""

import time


def clock_ms():
    """Return milliseconds since boot."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / 1e6

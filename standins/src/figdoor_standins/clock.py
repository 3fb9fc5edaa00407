"""A clock shared by all processes of a machine, and one for tests."""

import time

from twisted.internet.task import Clock as TwistedClock


def clock_ms():
    """Return milliseconds since boot."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / 1e6


class ManualClock:
    """A node's clock that tests advance; wraps Twisted's ``Clock``."""

    def __init__(self, reactor=None):
        self.reactor = reactor or TwistedClock()

    def now_ms(self):
        return self.reactor.seconds() * 1000

    def advance_ms(self, delay_ms):
        """Advance the clock and run the calls that fall due.

        Stops at the time of each call. Advanced in one step, every call would
        see the final time.
        """
        end_s = self.reactor.seconds() + delay_ms / 1000
        while True:
            calls = self.reactor.getDelayedCalls()
            next_s = min((call.getTime() for call in calls), default=end_s)
            if next_s >= end_s:
                break
            self.reactor.rightNow = next_s
            self.reactor.advance(0)
        self.reactor.rightNow = end_s
        self.reactor.advance(0)

"""The event loop of the process, with times in milliseconds."""

from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet import reactor as installed_reactor

MS_PER_SECOND = 1000
BACKLOG = 1024

# Twisted picks the reactor at run time, so the type checker cannot know it.
reactor: Any = installed_reactor


class Timer(Protocol):
    """A scheduled call."""

    def active(self) -> bool:
        """Return whether the call is still pending."""

    def cancel(self) -> None:
        """Prevent the call."""


def call_later(delay_ms: float, action: Callable[[], None]) -> Timer:
    """Call ``action`` once after ``delay_ms``."""
    timer: Timer = reactor.callLater(max(0, delay_ms) / MS_PER_SECOND, action)
    return timer


def cancel(timer: Timer | None) -> None:
    """Cancel a timer unless it is unset, has fired or was cancelled."""
    if timer is not None and timer.active():
        timer.cancel()


class Ticker:
    """Calls an action at once and then at a fixed rate.

    Missed calls are left out. Twisted's ``LoopingCall`` does the same, but its
    support of deferred results takes a quarter of the processor time of an
    idle node. The action must not raise.
    """

    def __init__(self, action: Callable[[], None], clock: Any) -> None:
        """Prepare the calls on a Twisted clock."""
        self._action = action
        self._clock = clock
        self._started_s: float = 0
        self._interval_s: float = 0
        self._timer: Timer | None = None
        self.running = False

    def start(self, interval_s: float) -> None:
        """Make the first call."""
        self.running = True
        self._interval_s = interval_s
        self._started_s = self._clock.seconds()
        self._call()

    def stop(self) -> None:
        """Make no further call."""
        self.running = False
        cancel(self._timer)

    def _call(self) -> None:
        self._action()
        if not self.running:
            return
        elapsed_s = self._clock.seconds() - self._started_s
        left_s = self._interval_s - elapsed_s % self._interval_s
        self._timer = self._clock.callLater(left_s, self._call)


class NextIteration:
    """Calls an action once in the next iteration of the loop."""

    def __init__(self, action: Callable[[], None]) -> None:
        """Plan nothing yet."""
        self.is_planned = False
        self._action = action

    def plan(self) -> None:
        """Plan a call, unless one is planned already."""
        if not self.is_planned:
            self.is_planned = True
            call_later(0, self._run)

    def _run(self) -> None:
        self.is_planned = False
        self._action()

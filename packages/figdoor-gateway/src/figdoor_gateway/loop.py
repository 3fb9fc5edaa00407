"""The one event loop, with times in milliseconds."""

from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet import reactor as installed_reactor

MS_PER_SECOND = 1000
BACKLOG = 1024

# Twisted installs the reactor at run time, so its type is not known here.
reactor: Any = installed_reactor


class Timer(Protocol):
    """A call that is still to come."""

    def active(self) -> bool:
        """Return whether it was neither made nor cancelled."""

    def cancel(self) -> None:
        """Take it back."""


def call_later(delay_ms: float, action: Callable[[], None]) -> Timer:
    """Call ``action`` once after ``delay_ms``."""
    timer: Timer = reactor.callLater(max(0, delay_ms) / MS_PER_SECOND, action)
    return timer


def cancel(timer: Timer | None) -> None:
    """Take a timer back that may be over or never have been set."""
    if timer is not None and timer.active():
        timer.cancel()

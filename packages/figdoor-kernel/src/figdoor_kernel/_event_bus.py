"""Synchronous delivery of events from publishers to subscribers."""

from collections.abc import Callable
from contextlib import suppress
from typing import Any, TypeVar

from figdoor_kernel._events import PluginFailed

Event = TypeVar('Event')


class EventBus:
    """Delivers each event to its subscribers, in order of subscription."""

    def __init__(self) -> None:
        """Create a bus without subscribers."""
        self._handlers: dict[type[Any], list[Callable[[Any], None]]] = {}
        self._observers: tuple[Callable[[object], None], ...] = ()

    def observe(self, observer: Callable[[object], None]) -> None:
        """Call ``observer`` with every event, before its subscribers.

        An observer thus sees an event before the events that its subscribers
        publish in response.
        """
        self._observers = (*self._observers, observer)

    def subscribe(
        self,
        event_type: type[Event],
        handler: Callable[[Event], None],
    ) -> None:
        """Call ``handler`` with every event of exactly this type."""
        self._handlers.setdefault(event_type, []).append(handler)

    def publish(self, event: object) -> None:
        """Call all observers and subscribers, then return.

        One that raises does not keep the event from the others. The
        first error is raised once all of them were called, since publishers
        treat it as a failure of the step that they announced.
        """
        first_error: Exception | None = None
        handlers = self._handlers.get(type(event), ())
        for handler in (*self._observers, *handlers):
            try:
                handler(event)
            except Exception as error:
                first_error = first_error or error
        if first_error is not None:
            raise first_error

    def notify(self, event: object, now_ms: float) -> None:
        """Publish what has happened; no subscriber can prevent it.

        An error of a subscriber is reported instead of raised.
        """
        try:
            self.publish(event)
        except Exception as error:
            self.report_error(error, now_ms)

    def report_error(self, error: Exception, now_ms: float) -> None:
        """Publish that a plug-in failed while a call was processed.

        Errors of the subscribers are dropped, since no other part is left to
        report them to.
        """
        with suppress(Exception):
            self.publish(PluginFailed(error, now_ms))

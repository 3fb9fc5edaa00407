"""Hands events from the parts that publish them to those that follow them."""

from collections.abc import Callable
from typing import Any, TypeVar

Event = TypeVar('Event')


class EventBus:
    """Hands each event to its subscribers, in the order they subscribed."""

    def __init__(self) -> None:
        """Start with no subscribers."""
        self._handlers: dict[type[Any], list[Callable[[Any], None]]] = {}
        self._observers: tuple[Callable[[object], None], ...] = ()

    def observe(self, observer: Callable[[object], None]) -> None:
        """Call ``observer`` with every event, before its subscribers.

        An observer thus sees an event before those that follow from it.
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
        """Call all subscribers before returning."""
        for observer in self._observers:
            observer(event)
        for handler in self._handlers.get(type(event), ()):
            handler(event)

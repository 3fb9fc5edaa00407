"""The calls that wait on this node for room at the upstreams of a service."""

from collections.abc import Callable
from dataclasses import dataclass

from figdoor_decisions.overload._urgency import UrgencySource
from figdoor_kernel import (
    AttemptStarted,
    CallClosed,
    CallHeld,
    CallQueue,
    Extension,
    Node,
    RoutedCall,
    ServiceName,
)

# Waiting calls per service; the body of a call stays in memory meanwhile.
MAX_WAITING = 32
# Calls that are woken for one place. The first may have no use for it, for
# example because it has already tried the upstream.
MAX_WOKEN = 2
# A shortage is over if no call had to wait for this long.
SHORTAGE_GAP_MS = 1000.0


@dataclass(slots=True)
class _WaitingCall:
    """One waiting call; ``wake`` makes it choose from the known loads.

    ``sort_key`` is from its last search, which is at most 100 ms old.
    """

    routed: RoutedCall
    wake: Callable[[], None]
    sort_key: tuple[float, float]


@dataclass(slots=True)
class _Shortage:
    """The time during which calls of a service had to wait."""

    since_ms: float
    last_ms: float


class WaitingCalls(CallQueue):
    """Orders the waiting calls of each service by their urgency.

    A call that finds room wakes those that go before it. Entries are kept
    under the id of ``routed``, and the reference to it keeps Python from
    reusing the id.
    """

    def __init__(self, node: Node) -> None:
        """Subscribe to the events that end a wait."""
        self._events = node.events
        self._node = node
        self._times: UrgencySource = node.part(
            Extension.SERVICE, 'objective-times'
        )
        self._calls: dict[ServiceName, dict[int, _WaitingCall]] = {}
        self._shortages: dict[ServiceName, _Shortage] = {}
        node.events.subscribe(AttemptStarted, self._on_started)
        node.events.subscribe(CallClosed, self._on_closed)

    def hold(
        self,
        routed: RoutedCall,
        wake: Callable[[], None],
        now_ms: float,
    ) -> bool:
        """Add a call; return ``False`` if it is to be refused instead.

        If too many calls wait, the last in order is refused, which may be
        another one than the one that is added.
        """
        if not self._node.has_overload_control:
            return True
        service = routed.pool.service
        urgency = self._times.urgency(routed, now_ms)
        calls = self._calls.setdefault(service, {})
        calls[id(routed)] = _WaitingCall(routed, wake, urgency.sort_key)
        self._note_shortage(service, now_ms)
        ordered = sorted(calls.values(), key=_sort_key)
        if len(ordered) > MAX_WAITING:
            last = ordered.pop()
            calls.pop(id(last.routed))
            if last.routed is routed:
                return False
            # It asks to be held again, and is refused as the last in order.
            last.wake()
        position = sum(call.sort_key < urgency.sort_key for call in ordered)
        self._events.publish(
            CallHeld(
                routed,
                position,
                len(ordered),
                urgency.outlook,
                urgency.slack_ms(now_ms),
                urgency.work_ms,
                urgency.work_samples,
                now_ms,
            )
        )
        return True

    def wake_preceding(self, routed: RoutedCall, now_ms: float) -> bool:
        """Offer the room that ``routed`` found to the calls before it.

        Returns whether there were any; they may have taken the room.
        """
        waiting = self._calls.get(routed.pool.service)
        if not waiting:
            return False
        own_key = self._times.urgency(routed, now_ms).sort_key
        preceding = [
            call
            for call in waiting.values()
            if call.routed is not routed and call.sort_key < own_key
        ]
        for call in sorted(preceding, key=_sort_key)[:MAX_WOKEN]:
            call.wake()
        return bool(preceding)

    def shortage_ms(self, service: ServiceName, now_ms: float) -> float:
        """Return for how long calls of the service have had to wait."""
        shortage = self._shortages.get(service)
        if shortage is None or now_ms - shortage.last_ms > SHORTAGE_GAP_MS:
            return 0
        return now_ms - shortage.since_ms

    def counts(self) -> dict[ServiceName, int]:
        """Return the number of waiting calls of each service."""
        return {service: len(calls) for service, calls in self._calls.items()}

    def _note_shortage(self, service: ServiceName, now_ms: float) -> None:
        if not self.shortage_ms(service, now_ms):
            self._shortages[service] = _Shortage(now_ms, now_ms)
        self._shortages[service].last_ms = now_ms

    def _on_started(self, event: AttemptStarted) -> None:
        self._remove(event.routed)

    def _on_closed(self, event: CallClosed) -> None:
        if event.routed is not None:
            self._remove(event.routed)

    def _remove(self, routed: RoutedCall) -> None:
        service = routed.pool.service
        calls = self._calls.get(service)
        if calls is None:
            return
        calls.pop(id(routed), None)
        if not calls:
            self._calls.pop(service)


def _sort_key(call: _WaitingCall) -> tuple[float, float]:
    return call.sort_key

"""Which room at the upstreams a call may use, by its urgency."""

from dataclasses import dataclass
from enum import Enum, unique

from figdoor_decisions.overload._urgency import Urgency, UrgencySource
from figdoor_kernel import (
    CallOpened,
    Extension,
    Node,
    Outlook,
    RoutedCall,
    RouteName,
    Service,
    ServiceName,
)

# Calls of a route are expected as long as the last one is not older than this.
RECENT_MS = 10_000.0
# A call gives way to those of a route that can wait at most half as long. The
# distance keeps routes with similar objectives from waiting for each other.
YIELD_FACTOR = 2.0


@unique
class Room(Enum):
    """Which free capacity of an upstream a call may use.

    ``ANY`` includes the places in its queue, ``BELOW_KNEE`` only slots in
    which one more request does not slow down the others. ``SPARE`` also
    requires that more than one of the probed upstreams has such a slot, so
    that the call does not take the last one.
    """

    ANY = 'any'
    BELOW_KNEE = 'below-knee'
    SPARE = 'spare'


@dataclass(frozen=True, slots=True)
class _Kind:
    """The urgency of the last first try of a route, when it was opened."""

    priority: int
    slack_ms: float
    seen_ms: float


class RecentKinds(Service):
    """Knows which routes have used each service, and how long they can wait.

    Routes share a service while traffic is split between services, and then
    their calls differ in what a delay costs. Only routes of which this node
    has seen a call count, so that a route without calls reserves nothing.
    """

    def __init__(self, node: Node) -> None:
        """Subscribe to opened calls."""
        self._times: UrgencySource = node.part(
            Extension.SERVICE, 'objective-times'
        )
        self._kinds: dict[ServiceName, dict[RouteName, _Kind]] = {}
        self._node = node
        node.events.subscribe(CallOpened, self._on_opened)

    def room_for(
        self,
        routed: RoutedCall,
        urgency: Urgency,
        now_ms: float,
    ) -> Room:
        """Return the room that a call may use.

        A call that has missed its objective uses spare room only. A call with
        much slack leaves the last places to routes that are at least as
        important and cannot wait. As its slack shrinks, it may use them too,
        so that no route is starved.
        """
        if urgency.outlook is not Outlook.IN_TIME:
            return Room.SPARE
        slack_ms = urgency.slack_ms(now_ms)
        kinds = self._kinds.get(routed.pool.service, {})
        for route_name, kind in kinds.items():
            if route_name == routed.route.name:
                continue
            is_recent = now_ms - kind.seen_ms <= RECENT_MS
            is_urgent = YIELD_FACTOR * kind.slack_ms <= slack_ms
            if is_recent and is_urgent and kind.priority <= urgency.priority:
                return Room.BELOW_KNEE
        return Room.ANY

    def _on_opened(self, event: CallOpened) -> None:
        if not self._node.has_overload_control:
            return
        routed = event.routed
        urgency = self._times.urgency(routed, event.now_ms)
        if urgency.was_refused or not routed.route.objective_ms:
            return
        kinds = self._kinds.setdefault(routed.pool.service, {})
        kinds[routed.route.name] = _Kind(
            urgency.priority,
            urgency.slack_ms(event.now_ms),
            event.now_ms,
        )

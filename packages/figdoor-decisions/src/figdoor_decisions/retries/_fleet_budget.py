"""One node's static share of the retries that a service bears."""

from collections import deque
from dataclasses import dataclass, field

from figdoor_decisions.gossip import fleet_size
from figdoor_kernel import (
    AttemptSent,
    AttemptState,
    CallClosed,
    CallOpened,
    Node,
    RoutedCall,
    ServiceName,
)

PERCENT = 100
# Retries that are under way count in a window that they may just miss, so a
# part of the budget stays unused.
USED_SHARE = 0.8
# Attempts of one call that may end before anything was sent.
MAX_UNSENT = 6


@dataclass(slots=True)
class _Window:
    """When requests of a service came and when retries were sent."""

    requests_ms: deque[float] = field(default_factory=deque)
    retries_ms: deque[float] = field(default_factory=deque)

    def forget(self, before_ms: float) -> None:
        """Drop what lies before the window."""
        for times_ms in (self.requests_ms, self.retries_ms):
            while times_ms and times_ms[0] < before_ms:
                times_ms.popleft()


@dataclass(slots=True)
class _Sent:
    """How often a call was sent; the reference keeps its id in use."""

    routed: RoutedCall
    count: int = 0


class FleetRetryBudget:
    """Grants retries from this node's share of each service's budget.

    The share is a percentage of the requests that this node took, and an
    equal part of the burst. Both hold whatever the other nodes do. Attempts
    of which nothing was sent cost the service nothing.
    """

    def __init__(self, node: Node) -> None:
        """Follow calls and what is sent for them."""
        self._node = node
        self._windows: dict[ServiceName, _Window] = {}
        self._sent: dict[int, _Sent] = {}
        node.events.subscribe(CallOpened, self._on_opened)
        node.events.subscribe(AttemptSent, self._on_sent)
        node.events.subscribe(CallClosed, self._on_closed)

    def allow(
        self,
        routed: RoutedCall,
        attempts_made: int,
        last: AttemptState,
        now_ms: float,
    ) -> bool:
        """Allow what the route's attempts and the budget leave."""
        sent = self._sent.get(id(routed))
        sent_count = sent.count if sent else 0
        if attempts_made - sent_count >= MAX_UNSENT:
            return False
        if not sent_count:
            return True
        if sent_count >= routed.route.max_attempts:
            return False
        return self._has_room(routed.pool.service, now_ms)

    def _has_room(self, service: ServiceName, now_ms: float) -> bool:
        options = self._node.options
        window = self._windows.setdefault(service, _Window())
        window.forget(now_ms - options.retry_budget_window_ms)
        share = options.retry_budget_percent / PERCENT
        allowed = share * len(window.requests_ms)
        allowed += options.retry_budget_burst / fleet_size(self._node)
        return len(window.retries_ms) + 1 <= USED_SHARE * allowed

    def _on_opened(self, event: CallOpened) -> None:
        routed = event.routed
        window = self._windows.setdefault(routed.pool.service, _Window())
        window.requests_ms.append(event.now_ms)
        window.forget(event.now_ms - self._node.options.retry_budget_window_ms)

    def _on_sent(self, event: AttemptSent) -> None:
        routed = event.routed
        sent = self._sent.setdefault(id(routed), _Sent(routed))
        sent.count += 1
        if sent.count > 1:
            window = self._windows.setdefault(routed.pool.service, _Window())
            window.retries_ms.append(event.now_ms)

    def _on_closed(self, event: CallClosed) -> None:
        if event.routed is not None:
            self._sent.pop(id(event.routed), None)

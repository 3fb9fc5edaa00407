"""This node's static share of the retry budget of a service."""

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
# A part of the budget stays unused, because retries in flight may arrive in a
# later window than the one in which they are counted.
USABLE_SHARE = 0.8
# Maximum number of attempts of one call that end before anything was sent.
MAX_UNSENT_ATTEMPTS = 6


@dataclass(slots=True)
class _Window:
    """Times of the recent requests and retries of a service."""

    requests_ms: deque[float] = field(default_factory=deque)
    retries_ms: deque[float] = field(default_factory=deque)

    def expire(self, before_ms: float) -> None:
        """Remove the times before the window."""
        for times_ms in (self.requests_ms, self.retries_ms):
            while times_ms and times_ms[0] < before_ms:
                times_ms.popleft()


@dataclass(slots=True)
class _SendCount:
    """How often a call was sent, kept under the id of ``routed``.

    The reference to ``routed`` keeps Python from reusing its id.
    """

    routed: RoutedCall
    count: int = 0


class FleetRetryBudget:
    """Allows retries from this node's share of each service's budget.

    The share is a percentage of the requests that this node received, plus an
    equal part of the burst, so that the fleet keeps to the budget without
    coordination. Attempts of which nothing was sent are not counted, since
    they cost the service nothing.
    """

    def __init__(self, node: Node) -> None:
        """Subscribe to calls and sent attempts."""
        self._node = node
        self._windows: dict[ServiceName, _Window] = {}
        self._sent: dict[int, _SendCount] = {}
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
        """Allow a retry within the attempts of the route and the budget."""
        sent = self._sent.get(id(routed))
        sent_count = sent.count if sent else 0
        if attempts_made - sent_count >= MAX_UNSENT_ATTEMPTS:
            return False
        if not sent_count:
            return True
        if sent_count >= routed.route.max_attempts:
            return False
        return self._is_within_budget(routed.pool.service, now_ms)

    def _is_within_budget(self, service: ServiceName, now_ms: float) -> bool:
        options = self._node.options
        window = self._windows.setdefault(service, _Window())
        window.expire(now_ms - options.retry_budget_window_ms)
        share = options.retry_budget_percent / PERCENT
        allowed = share * len(window.requests_ms)
        allowed += options.retry_budget_burst / fleet_size(self._node)
        return len(window.retries_ms) + 1 <= USABLE_SHARE * allowed

    def _on_opened(self, event: CallOpened) -> None:
        routed = event.routed
        window = self._windows.setdefault(routed.pool.service, _Window())
        window.requests_ms.append(event.now_ms)
        window.expire(event.now_ms - self._node.options.retry_budget_window_ms)

    def _on_sent(self, event: AttemptSent) -> None:
        routed = event.routed
        sent = self._sent.setdefault(id(routed), _SendCount(routed))
        sent.count += 1
        if sent.count > 1:
            window = self._windows.setdefault(routed.pool.service, _Window())
            window.retries_ms.append(event.now_ms)

    def _on_closed(self, event: CallClosed) -> None:
        if event.routed is not None:
            self._sent.pop(id(event.routed), None)

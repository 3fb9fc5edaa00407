"""Shares of the tenants in the calls that wait for an upstream."""

from collections import Counter
from collections.abc import Callable, Sequence

from figdoor_kernel import (
    AttemptStarted,
    CallClosed,
    CallOpened,
    Node,
    RoutedCall,
    ServiceName,
    TenantName,
    Upstream,
)


class WaitingShares:
    """Refuses a call without room if its tenant has too many that wait.

    All tenants whose calls wait at this node for the same service have equal
    shares. A tenant above its share is refused first, so that one that sends
    far more than usual does not take the room that becomes free from the
    others. While one tenant waits alone, it may use all of it. Calls without a
    tenant's key are neither counted nor refused.
    """

    def __init__(self, node: Node) -> None:
        """Subscribe to calls and attempts, to count those that wait."""
        self._waiting: dict[ServiceName, Counter[TenantName]] = {}
        # Keeping the calls also keeps Python from reusing their ids.
        self._calls: dict[int, RoutedCall] = {}
        node.events.subscribe(CallOpened, self._on_opened)
        node.events.subscribe(AttemptStarted, self._on_started)
        node.events.subscribe(CallClosed, self._on_closed)

    def is_above_share(self, routed: RoutedCall) -> bool:
        """Return whether the tenant of a call has more than an equal share."""
        if routed.tenant_record is None:
            return False
        waiting = self._waiting.get(routed.pool.service)
        if not waiting or len(waiting) == 1:
            return False
        own = waiting[routed.tenant_record.name]
        return own * len(waiting) > waiting.total()

    def begin(
        self,
        candidates: Sequence[Upstream],
        routed: RoutedCall,
        wake: Callable[[], None],
        now_ms: float,
    ) -> float:
        """Probe nothing."""
        return now_ms

    def resume_ms(self, routed: RoutedCall, now_ms: float) -> float | None:
        """Refuse a call above its tenant's share; leave others to wait."""
        return None if self.is_above_share(routed) else float('inf')

    def _on_opened(self, event: CallOpened) -> None:
        routed = event.routed
        if routed.tenant_record is None:
            return
        self._calls[id(routed)] = routed
        waiting = self._waiting.setdefault(routed.pool.service, Counter())
        waiting[routed.tenant_record.name] += 1

    def _on_started(self, event: AttemptStarted) -> None:
        self._end_wait(event.routed)

    def _on_closed(self, event: CallClosed) -> None:
        if event.routed is not None:
            self._end_wait(event.routed)

    def _end_wait(self, routed: RoutedCall) -> None:
        call = self._calls.pop(id(routed), None)
        if call is None or call.tenant_record is None:
            return
        waiting = self._waiting[call.pool.service]
        name = call.tenant_record.name
        waiting[name] -= 1
        if not waiting[name]:
            waiting.pop(name)
        if not waiting:
            self._waiting.pop(call.pool.service)

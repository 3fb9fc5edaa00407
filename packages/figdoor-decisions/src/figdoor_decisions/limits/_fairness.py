"""Equal shares of a contended pool for its tenants."""

from collections import Counter

from figdoor_decisions.limits._caps import InFlightLimit
from figdoor_kernel import (
    CallClosed,
    CallOpened,
    Extension,
    Node,
    Pool,
    PoolName,
    Refusal,
    RoutedCall,
    TenantName,
)

CONTENDED_SHARE = 0.8


class TenantShare:
    """Refuses tenants above their share of a contended pool.

    A pool is contended once this node's calls use 80% of its capacity, which
    is the sum of the caps. The share is equal among the tenants with calls in
    progress. Only first attempts are checked, so that an accepted call is not
    dropped in favour of later ones.
    """

    def __init__(self, node: Node) -> None:
        """Subscribe to calls, to count those in progress."""
        self._fleet = node.fleet
        self._limit: InFlightLimit = node.part(
            Extension.CANDIDATE_RULE,
            'in-flight',
        )
        self._calls: dict[PoolName, Counter[TenantName]] = {}
        self._totals: Counter[PoolName] = Counter()
        node.events.subscribe(CallOpened, self._on_opened)
        node.events.subscribe(CallClosed, self._on_closed)

    def admit(
        self,
        routed: RoutedCall,
        attempts_made: int,
        now_ms: float,
    ) -> Refusal | None:
        """Refuse a first attempt above the tenant's share."""
        name = routed.pool.name
        tenants = self._calls.get(name)
        if attempts_made or tenants is None or len(tenants) == 1:
            return None
        total = self._totals[name]
        # A cheap check before the costly sum of the caps: with so few calls
        # the pool cannot be contended.
        if total <= CONTENDED_SHARE * len(
            self._fleet.of_service(routed.pool.service),
        ):
            return None
        capacity = self._capacity(routed.pool)
        is_contended = total > CONTENDED_SHARE * capacity
        if is_contended and tenants[routed.tenant] > capacity / len(tenants):
            return Refusal.TENANT_SHARE
        return None

    def _capacity(self, pool: Pool) -> int:
        return sum(
            self._limit.cap(upstream, pool.slots)
            for upstream in self._fleet.of_service(pool.service)
            if upstream.availability_zone in pool.availability_zones
        )

    def _on_opened(self, event: CallOpened) -> None:
        name = event.routed.pool.name
        tenants = self._calls.setdefault(name, Counter())
        tenants[event.routed.tenant] += 1
        self._totals[name] += 1

    def _on_closed(self, event: CallClosed) -> None:
        if event.routed is None:
            return
        name = event.routed.pool.name
        tenants = self._calls[name]
        tenants[event.routed.tenant] -= 1
        if not tenants[event.routed.tenant]:
            tenants.pop(event.routed.tenant)
        self._totals[name] -= 1

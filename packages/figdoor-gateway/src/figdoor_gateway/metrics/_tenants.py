"""Metrics of tenants, with a bounded number of series."""

from collections.abc import Mapping
from typing import Any

from prometheus_client import CollectorRegistry, Counter

from figdoor_kernel import (
    CallClosed,
    Node,
    Refusal,
    RoutedCall,
    TablesAccepted,
    TenantName,
)

# Names of tenants that callers choose: those that no table lists.
MAX_TENANTS = 64
# A pair of a route and a tenant has a histogram of 4 KB, so that all of them
# take at most 2 MB.
MAX_PAIRS = 512
# Tenants that the tables list have series of less than 1 KB each.
MAX_LISTED_TENANTS = 1000
OTHER_TENANTS = 'other'


class TenantLabels:
    """Chooses the label for the tenant of a call.

    Each name adds series, which take memory, and callers may choose the names.
    """

    def __init__(self) -> None:
        """Start without any pair of a route and a tenant."""
        self._tenants: set[str] = set()
        self._pairs: set[tuple[str, str]] = set()

    def label(self, routed: RoutedCall) -> str:
        """Return the tenant, or ``other`` beyond the limits."""
        tenant = routed.tenant
        pair = (routed.route.name, tenant)
        if pair in self._pairs:
            return tenant
        is_new_name = routed.tenant_record is None and (
            tenant not in self._tenants
        )
        if is_new_name and len(self._tenants) >= MAX_TENANTS:
            return OTHER_TENANTS
        if len(self._pairs) >= MAX_PAIRS:
            return OTHER_TENANTS
        self._pairs.add(pair)
        if is_new_name:
            self._tenants.add(tenant)
        return tenant

    def remove(self, pairs: frozenset[tuple[str, str]]) -> None:
        """Forget pairs whose series were removed."""
        self._pairs -= pairs


class TenantCalls:
    """Counts the calls of each tenant that the tables list.

    Unlike the series by route, none of these tenants shares a series with
    others. Calls with an unknown key have an empty tenant.
    """

    def __init__(self, node: Node, collectors: CollectorRegistry) -> None:
        """Subscribe to the ends of calls."""
        self._calls = Counter(
            'figdoor_tenant_calls',
            'Calls by listed tenant, outcome and reason of refusal; no tenant '
            'for unknown keys',
            ('tenant', 'outcome', 'reason'),
            registry=collectors,
        )
        self._series: dict[tuple[str, ...], Any] = {}
        self._listed: Mapping[TenantName, object] = {}
        node.events.subscribe(CallClosed, self._on_closed)
        node.events.subscribe(TablesAccepted, self._on_tables)

    def _on_closed(self, event: CallClosed) -> None:
        tenant = ''
        if event.routed is not None:
            if event.routed.tenant_record is None:
                return
            tenant = event.routed.tenant
            if tenant not in self._listed:
                tenant = OTHER_TENANTS
        elif event.refusal is not Refusal.UNKNOWN_KEY:
            return
        reason = event.refusal.value if event.refusal else ''
        key = (tenant, event.outcome.value, reason)
        series = self._series.get(key)
        if series is None:
            series = self._calls.labels(*key)
            self._series[key] = series
        series.inc()

    def _on_tables(self, event: TablesAccepted) -> None:
        """Remove the series of tenants that are no longer listed."""
        names = list(event.tables.tenants)[:MAX_LISTED_TENANTS]
        self._listed = dict.fromkeys(names)
        kept = {'', OTHER_TENANTS, *names}
        removed = [key for key in self._series if key[0] not in kept]
        for key in removed:
            self._series.pop(key)
            self._calls.remove(*key)

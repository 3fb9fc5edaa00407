"""Counters and histograms of calls, attempts, probes and pauses."""

from typing import Any

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Histogram,
    exposition,
)

from figdoor_gateway.metrics._gauges import NodeGauges
from figdoor_gateway.metrics._tenants import TenantCalls, TenantLabels
from figdoor_kernel import (
    AttemptEnded,
    AttemptState,
    CallClosed,
    CallersEvicted,
    CallHeld,
    ItemRejected,
    Node,
    PluginFailed,
    ProbeRequested,
    Service,
    TablesAccepted,
    Tick,
    VmListChanged,
)

MS_PER_SECOND = 1000
MIN_PAUSE_MS = 500
_BUCKETS_S = (
    0.0005,
    0.001,
    0.002,
    0.004,
    0.008,
    0.016,
    0.032,
    0.064,
    0.128,
    0.256,
    0.512,
    1,
    2,
    5,
)
_ROUTE = 'route'
_TENANT = 'tenant'
_OUTCOME = 'outcome'


class Metrics(Service):
    """Updates metrics from events and renders them on demand."""

    def __init__(self, node: Node) -> None:
        """Create the metrics in their own registry; subscribe to events."""
        # Other parts register their own metrics here too.
        self.collectors = CollectorRegistry()
        self._labels = TenantLabels()
        self._listed: frozenset[str] = frozenset()
        self._call_series: dict[tuple[str, ...], tuple[Any, Any]] = {}
        self._attempts_by_state: dict[AttemptState, Any] = {}
        self._probed: set[str] = set()
        self._last_tick_ms: float | None = None
        self._make_call_metrics()
        self._make_node_metrics()
        self._gauges = NodeGauges(node, self.collectors)
        self._tenants = TenantCalls(node, self.collectors)
        node.events.subscribe(CallClosed, self._on_closed)
        node.events.subscribe(CallHeld, self._on_held)
        node.events.subscribe(AttemptEnded, self._on_attempt)
        node.events.subscribe(ProbeRequested, self._on_probe)
        self._subscribe_to_faults(node)
        node.events.subscribe(Tick, self._on_tick)
        node.events.subscribe(TablesAccepted, self._on_tables)
        node.events.subscribe(VmListChanged, self._on_vm_list)

    def render(self) -> bytes:
        """Return all metrics in Prometheus' text format."""
        self._gauges.update()
        return exposition.generate_latest(self.collectors)

    def _subscribe_to_faults(self, node: Node) -> None:
        node.events.subscribe(ItemRejected, self._on_item_rejected)
        node.events.subscribe(PluginFailed, self._on_plugin_failed)
        node.events.subscribe(CallersEvicted, self._on_evicted)

    def _make_call_metrics(self) -> None:
        self._latency = Histogram(
            'figdoor_call_seconds',
            'Time from the request to the end of its response',
            (_ROUTE, _TENANT),
            buckets=_BUCKETS_S,
            registry=self.collectors,
        )
        self._calls = Counter(
            'figdoor_calls',
            'Calls by outcome and reason of refusal',
            (_ROUTE, _TENANT, _OUTCOME, 'reason'),
            registry=self.collectors,
        )
        self._held = Counter(
            'figdoor_searches_without_room',
            'Searches after which a call went on waiting, by its outlook',
            ('outlook',),
            registry=self.collectors,
        )
        self._attempts = Counter(
            'figdoor_attempts',
            'Attempts by how they ended',
            ('state',),
            registry=self.collectors,
        )

    def _make_node_metrics(self) -> None:
        self._probes = Counter(
            'figdoor_probes',
            'Probes sent, by upstream',
            ('upstream',),
            registry=self.collectors,
        )
        self._pauses = Counter(
            'figdoor_pauses',
            'Times that the process was paused for over half a second',
            registry=self.collectors,
        )
        self._plugin_failures = Counter(
            'figdoor_plugin_failures',
            'Unexpected errors of plug-ins while calls were processed',
            registry=self.collectors,
        )
        self._rejected_items = Counter(
            'figdoor_rejected_items',
            'Published items that could not be decoded',
            registry=self.collectors,
        )

        self._evicted_callers = Counter(
            'figdoor_evicted_callers',
            'Callers that gave way at a limit for all callers, by action',
            ('action',),
            registry=self.collectors,
        )

    def _on_closed(self, event: CallClosed) -> None:
        route = event.routed.route.name if event.routed else ''
        tenant = self._labels.label(event.routed) if event.routed else ''
        reason = event.refusal.value if event.refusal else ''
        key = (route, tenant, event.outcome.value, reason)
        series = self._call_series.get(key)
        if series is None:
            series = (
                self._latency.labels(route, tenant),
                self._calls.labels(*key),
            )
            self._call_series[key] = series
        series[0].observe(event.latency_ms / MS_PER_SECOND)
        series[1].inc()

    def _on_held(self, event: CallHeld) -> None:
        self._held.labels(event.outlook.value).inc()

    def _on_attempt(self, event: AttemptEnded) -> None:
        # Looking up a series by its label takes longer than counting.
        counter = self._attempts_by_state.get(event.state)
        if counter is None:
            counter = self._attempts.labels(event.state.value)
            self._attempts_by_state[event.state] = counter
        counter.inc()

    def _on_probe(self, event: ProbeRequested) -> None:
        self._probed.add(event.upstream)
        self._probes.labels(event.upstream).inc()

    def _on_item_rejected(self, event: ItemRejected) -> None:
        self._rejected_items.inc()

    def _on_plugin_failed(self, event: PluginFailed) -> None:
        self._plugin_failures.inc()

    def _on_evicted(self, event: CallersEvicted) -> None:
        for action, count in event.counts.items():
            self._evicted_callers.labels(action).inc(count)

    def _on_tables(self, event: TablesAccepted) -> None:
        """Remove the series of routes and tenants no longer in force."""
        routes = {'', *(route.name for route in event.tables.routes)}
        gone = self._listed - event.tables.tenants.keys()
        self._listed = frozenset(event.tables.tenants)
        removed = [
            key
            for key in self._call_series
            if key[0] not in routes or key[1] in gone
        ]
        for route, tenant, outcome, reason in removed:
            self._call_series.pop((route, tenant, outcome, reason))
            self._calls.remove(route, tenant, outcome, reason)
        pairs = frozenset((route, tenant) for route, tenant, *_ in removed)
        self._labels.remove(pairs)
        for labels in pairs:
            self._latency.remove(*labels)

    def _on_vm_list(self, event: VmListChanged) -> None:
        """Remove the series of upstreams that are no longer listed."""
        removed = self._probed - {vm.vm_id for vm in event.vm_list.vms}
        for upstream in removed:
            self._probes.remove(upstream)
        self._probed -= removed

    def _on_tick(self, event: Tick) -> None:
        last_ms = self._last_tick_ms
        self._last_tick_ms = event.now_ms
        if last_ms is not None and event.now_ms - last_ms > MIN_PAUSE_MS:
            self._pauses.inc()

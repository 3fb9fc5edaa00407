"""Gauges that are set from the node's state when metrics are rendered."""

from collections import Counter
from typing import Any

from prometheus_client import CollectorRegistry, Gauge

from figdoor_kernel import Era, Extension, Node, NodeState, era_of

MS_PER_SECOND = 1000


class NodeGauges:
    """Gauges for the tables, the fleet and the readiness of this node."""

    def __init__(self, node: Node, collectors: CollectorRegistry) -> None:
        """Create the gauges."""
        self._node = node
        self._revision = Gauge(
            'figdoor_tables_revision',
            'Revision of the tables in force',
            registry=collectors,
        )
        self._refused = Gauge(
            'figdoor_tables_refused_revision',
            'Refused revision newer than the one in force, 0 if there is none',
            registry=collectors,
        )
        self._era = Gauge(
            'figdoor_store_era',
            'Era of the store up to which the published items are known',
            registry=collectors,
        )
        self._evacuated = Gauge(
            'figdoor_evacuated_zones',
            'Availability zones whose upstreams get no requests',
            registry=collectors,
        )
        self._confirmed_age = Gauge(
            'figdoor_tables_confirmed_age_seconds',
            'Time since the tables were last confirmed, -1 if they never were',
            registry=collectors,
        )
        self._ready = Gauge(
            'figdoor_ready',
            'Whether the node is ready for callers',
            registry=collectors,
        )
        self._upstreams = Gauge(
            'figdoor_upstreams',
            'Listed upstreams, by service and state in the VM list',
            ('service', 'vm_state'),
            registry=collectors,
        )
        self._waiting = Gauge(
            'figdoor_waiting_calls',
            'Calls that wait for room at the upstreams of a service',
            ('service',),
            registry=collectors,
        )
        self._nodes = Gauge(
            'figdoor_nodes',
            'Listed nodes',
            registry=collectors,
        )
        self._allowance_shares = Gauge(
            'figdoor_allowance_shares',
            'Shares of the allowances of all tenants that this node holds',
            registry=collectors,
        )

        self._caller_bytes = Gauge(
            'figdoor_caller_bytes',
            'Memory held for callers, which memory_limit_mb limits',
            registry=collectors,
        )
        self._caller_connections = Gauge(
            'figdoor_caller_connections',
            'Open connections of callers, which file_limit limits',
            registry=collectors,
        )

    def update(self) -> None:
        """Set all gauges from the current state."""
        node = self._node
        self._update_tables()
        self._confirmed_age.set(self._confirmed_age_s())
        self._ready.set(self._service('readiness').state is NodeState.READY)
        self._nodes.set(len(node.fleet.nodes()))
        self._update_waiting()
        self._allowance_shares.set(self._held_shares())
        account = self._service('caller-account')
        self._caller_bytes.set(account.total_bytes)
        self._caller_connections.set(account.connections)
        self._upstreams.clear()
        counts = Counter(
            (upstream.service, upstream.vm_state.value)
            for upstream in node.fleet.upstreams()
        )
        for labels, count in counts.items():
            self._upstreams.labels(*labels).set(count)

    def _update_tables(self) -> None:
        node = self._node
        revision = node.revision
        refused = self._service('acceptance').refused_revision
        self._revision.set(revision)
        self._refused.set(refused if refused > revision else 0)
        self._era.set(self._store_era())
        evacuated = node.tables.evacuated if node.tables else ()
        self._evacuated.set(len(evacuated))

    def _update_waiting(self) -> None:
        self._waiting.clear()
        queues = self._node.registry.names(Extension.CALL_QUEUE)
        if 'waiting-calls' not in queues:
            return
        queue = self._node.part(Extension.CALL_QUEUE, 'waiting-calls')
        for service, count in queue.counts().items():
            self._waiting.labels(service).set(count)

    def _store_era(self) -> Era:
        services = self._node.registry.names(Extension.SERVICE)
        if 'published-items' not in services:
            return Era(0)
        return era_of(self._service('published-items').as_of)

    def _held_shares(self) -> int:
        services = self._node.registry.names(Extension.SERVICE)
        if 'allowance-shares' not in services:
            return 0
        shares: int = self._service('allowance-shares').pool.shares
        return shares

    def _confirmed_age_s(self) -> float:
        services = self._node.registry.names(Extension.SERVICE)
        if 'config-lease' not in services:
            return -1
        confirmed_at_ms = self._service('config-lease').confirmed_at_ms
        if confirmed_at_ms is None:
            return -1
        age_ms: float = self._node.clock.now_ms() - confirmed_at_ms
        return age_ms / MS_PER_SECOND

    def _service(self, name: str) -> Any:
        return self._node.part(Extension.SERVICE, name)

"""Transport with a connection pool for each upstream."""

from functools import partial

from figdoor_decisions.limits import ConnectionLimits
from figdoor_gateway.protocols import (
    Dialect,
    OutboundRequest,
    ResponseReceiver,
)
from figdoor_gateway.upstreams._pool import Origin, UpstreamPool
from figdoor_gateway.upstreams._request_handle import HttpRequestHandle
from figdoor_kernel import (
    ConnectionsClosed,
    Extension,
    Node,
    TablesAccepted,
    Upstream,
    UpstreamId,
    VmListChanged,
)


class HttpUpstreamTransport:
    """Sends each request over a connection from its upstream's pool."""

    def __init__(self, node: Node) -> None:
        """Subscribe to tables and VM list, which set connection limits."""
        self._node = node
        self._pools: dict[UpstreamId, UpstreamPool] = {}
        self._limits: ConnectionLimits = node.part(
            Extension.SERVICE,
            'connection-limits',
        )
        self._dialect: Dialect = node.part(
            Extension.DIALECT,
            node.settings.dialect,
        )
        node.events.subscribe(TablesAccepted, self._update_pools)
        node.events.subscribe(VmListChanged, self._update_pools)

    def send(
        self,
        upstream: Upstream,
        request: OutboundRequest,
        receiver: ResponseReceiver,
    ) -> HttpRequestHandle:
        """Send over an idle connection, or open one within the limit."""
        pool = self._pool_of(upstream)
        handle = HttpRequestHandle(request, receiver, pool.release)
        connection = pool.acquire(request.max_idle_ms)
        if connection is not None:
            handle.send_on(connection)
        elif pool.open_count < self._limits.limit(upstream):
            pool.connect(handle)
        else:
            handle.fail(refused=False)
        return handle

    def stop(self) -> None:
        """Close all idle connections."""
        for pool in self._pools.values():
            pool.trim(0)

    def _pool_of(self, upstream: Upstream) -> UpstreamPool:
        pool = self._pools.get(upstream.upstream_id)
        origin = Origin(upstream.host, upstream.port, upstream.instance)
        if pool is not None and pool.origin == origin:
            return pool
        if pool is not None:
            # The connections of the pool lead to another instance.
            pool.retire()
        pool = UpstreamPool(
            origin,
            self._node.settings,
            partial(self._on_last_closed, upstream.upstream_id),
            self._dialect,
            self._node.clock,
            self._on_error,
        )
        self._pools[upstream.upstream_id] = pool
        return pool

    def _update_pools(self, event: TablesAccepted | VmListChanged) -> None:
        for upstream_id, pool in tuple(self._pools.items()):
            upstream = self._node.fleet.find(upstream_id)
            if upstream is not None:
                pool.trim(self._limits.limit(upstream))
                continue
            pool.retire()
            self._pools.pop(upstream_id)

    def _on_last_closed(self, upstream_id: UpstreamId) -> None:
        now_ms = self._node.clock.now_ms()
        event = ConnectionsClosed(upstream_id, now_ms)
        self._node.events.notify(event, now_ms)

    def _on_error(self, error: Exception) -> None:
        self._node.events.report_error(error, self._node.clock.now_ms())

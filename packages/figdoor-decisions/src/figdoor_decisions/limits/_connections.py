"""How many connections this node may hold to one upstream."""

from typing import Protocol

from figdoor_decisions.limits._caps import connection_cap
from figdoor_kernel import (
    Extension,
    Node,
    Service,
    TablesAccepted,
    Upstream,
    UpstreamId,
    VmListChanged,
)


class Sharing(Protocol):
    """Counts the nodes that share an upstream."""

    def node_count(self, upstream: Upstream) -> int:
        """Return how many nodes use an upstream, 0 if this node does not."""


class ConnectionLimits(Service):
    """Tells upstream transports how many connections they may open.

    A transport gets it by ``node.part(Extension.SERVICE, 'connection-limits')``
    and asks before it opens a connection.
    """

    def __init__(self, node: Node) -> None:
        """Subscribe to the tables and the VM list."""
        self._node = node
        self._sharing: Sharing = node.part(Extension.SERVICE, 'sharing')
        self._limits: dict[UpstreamId, int] = {}
        node.events.subscribe(TablesAccepted, self._clear)
        node.events.subscribe(VmListChanged, self._clear)

    def limit(self, upstream: Upstream) -> int:
        """Return the limit, 0 where no pool of the tables uses the upstream.

        Pools of the same service share its upstreams, so the lowest
        ``connections`` value applies.
        """
        max_count = self._limits.get(upstream.upstream_id)
        if max_count is None:
            max_count = self._compute(upstream)
            self._limits[upstream.upstream_id] = max_count
        return max_count

    def _compute(self, upstream: Upstream) -> int:
        tables = self._node.tables
        pools = tables.pools.values() if tables else ()
        counts = [
            pool.connections
            for pool in pools
            if pool.service == upstream.service
        ]
        if not counts:
            return 0
        return connection_cap(min(counts), self._sharing.node_count(upstream))

    def _clear(self, event: TablesAccepted | VmListChanged) -> None:
        self._limits.clear()

"""How many connections this node may hold to one upstream."""

from figdoor_decisions.limits._caps import connection_cap
from figdoor_decisions.limits._sharing import Sharing
from figdoor_kernel import (
    Extension,
    Node,
    Service,
    TablesAccepted,
    Upstream,
    UpstreamId,
    VmListChanged,
)


class ConnectionLimits(Service):
    """Answers upstream transports, which ask before they open another one.

    For example ``node.part(Extension.SERVICE, 'connection-limits')``.
    """

    def __init__(self, node: Node) -> None:
        """Use the tables and subsets of this node."""
        self._node = node
        self._sharing: Sharing = node.part(Extension.SERVICE, 'sharing')
        self._limits: dict[UpstreamId, int] = {}
        node.events.subscribe(TablesAccepted, self._forget)
        node.events.subscribe(VmListChanged, self._forget)

    def limit(self, upstream: Upstream) -> int:
        """Return the limit, 0 where no pool in force uses the upstream.

        Pools of the same service share its workers, so the lowest count of
        connections holds.
        """
        known = self._limits.get(upstream.upstream_id)
        if known is None:
            known = self._compute(upstream)
            self._limits[upstream.upstream_id] = known
        return known

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
        return connection_cap(min(counts), self._sharing.nodes_at(upstream))

    def _forget(self, event: TablesAccepted | VmListChanged) -> None:
        self._limits.clear()

"""How many connections this node may hold to one upstream."""

from figdoor_decisions.limits._caps import connection_cap
from figdoor_decisions.limits._sharing import Sharing
from figdoor_kernel import Extension, Node, Upstream


class ConnectionLimits:
    """Answers upstream transports, which ask before they open another one.

    For example ``node.part(Extension.SERVICE, 'connection-limits')``.
    """

    def __init__(self, node: Node) -> None:
        """Use the tables and subsets of this node."""
        self._node = node
        self._sharing: Sharing = node.part(Extension.SERVICE, 'sharing')

    def start(self) -> None:
        """Need no start."""

    def stop(self) -> None:
        """Need no stop."""

    def limit(self, upstream: Upstream) -> int:
        """Return the limit, 0 where no pool in force uses the upstream.

        Pools of the same service share its workers, so the lowest count of
        connections holds.
        """
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

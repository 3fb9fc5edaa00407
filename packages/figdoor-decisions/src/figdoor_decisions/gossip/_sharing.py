"""Which nodes share an upstream where each node uses all of them."""

from figdoor_kernel import Node, Service, Upstream


class MemberSharing(Service):
    """Counts all members, since load probing selects from all upstreams."""

    def __init__(self, node: Node) -> None:
        """Use the members that the VM list holds."""
        self._fleet = node.fleet

    def node_count(self, upstream: Upstream) -> int:
        """Return the number of members, at least 1."""
        return max(1, len(self._fleet.nodes()))

"""Upstreams that this node uses, and the number of nodes that share them."""

from collections.abc import Mapping, Sequence

from figdoor_decisions.limits._subsetting import choose_subset
from figdoor_kernel import (
    Node,
    NodeId,
    Service,
    ServiceName,
    Upstream,
    UpstreamId,
    VmListChanged,
)

_Upstreams = tuple[Upstream, ...]


class UpstreamSharing(Service):
    """Counts the nodes whose subsets contain an upstream.

    The subsets depend on the VM list alone. The counts of a service are
    computed on first use, and again after its upstreams or the nodes change.
    """

    def __init__(self, node: Node) -> None:
        """Subscribe to the VM list."""
        self._node = node
        self._nodes: frozenset[NodeId] = frozenset((node.node_id,))
        self._upstreams: dict[ServiceName, _Upstreams] = {}
        self._counts: dict[ServiceName, Mapping[UpstreamId, int]] = {}
        node.events.subscribe(VmListChanged, self._on_vm_list)

    def node_count(self, upstream: Upstream) -> int:
        """Return how many nodes use an upstream, 0 if this node does not."""
        counts = self._counts.get(upstream.service)
        if counts is None:
            counts = self._compute(upstream.service)
            self._counts[upstream.service] = counts
        return counts.get(upstream.upstream_id, 0)

    def _compute(self, service: ServiceName) -> Mapping[UpstreamId, int]:
        upstreams = tuple(self._node.fleet.of_service(service))
        self._upstreams[service] = upstreams
        size = self._node.options.subset_size
        if len(upstreams) <= size:
            return dict.fromkeys(
                (upstream.upstream_id for upstream in upstreams),
                len(self._nodes),
            )
        return _count_nodes(self._node.node_id, self._nodes, upstreams, size)

    def _on_vm_list(self, event: VmListChanged) -> None:
        fleet = self._node.fleet
        # A node that is missing from its own list still sends requests.
        nodes = frozenset(
            (self._node.node_id, *(NodeId(vm.vm_id) for vm in fleet.nodes())),
        )
        if nodes != self._nodes:
            self._nodes = nodes
            self._counts = {}
        for service in tuple(self._counts):
            if tuple(fleet.of_service(service)) != self._upstreams[service]:
                self._counts.pop(service)


def _count_nodes(
    own_id: NodeId,
    nodes: frozenset[NodeId],
    upstreams: Sequence[Upstream],
    size: int,
) -> Mapping[UpstreamId, int]:
    counts = dict.fromkeys(choose_subset(own_id, upstreams, size), 1)
    for node_id in nodes - {own_id}:
        for upstream_id in choose_subset(node_id, upstreams, size):
            if upstream_id in counts:
                counts[upstream_id] += 1
    return counts

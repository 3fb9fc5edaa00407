"""Which upstreams this node uses, and with how many other nodes."""

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

_Members = tuple[Upstream, ...]


class Sharing(Service):
    """Knows the subsets of all listed nodes.

    They follow from the VM list alone. A service is worked out when it is
    first asked for and again when its upstreams or the nodes change.
    """

    def __init__(self, node: Node) -> None:
        """Follow the VM list."""
        self._node = node
        self._nodes: frozenset[NodeId] = frozenset((node.node_id,))
        self._members: dict[ServiceName, _Members] = {}
        self._counts: dict[ServiceName, Mapping[UpstreamId, int]] = {}
        node.events.subscribe(VmListChanged, self._on_vm_list)

    def nodes_at(self, upstream: Upstream) -> int:
        """Return how many nodes use an upstream, 0 if this one does not."""
        counts = self._counts.get(upstream.service)
        if counts is None:
            counts = self._work_out(upstream.service)
            self._counts[upstream.service] = counts
        return counts.get(upstream.upstream_id, 0)

    def _work_out(self, service: ServiceName) -> Mapping[UpstreamId, int]:
        members = tuple(self._node.fleet.of_service(service))
        self._members[service] = members
        size = self._node.options.subset_size
        if len(members) <= size:
            return dict.fromkeys(
                (upstream.upstream_id for upstream in members),
                len(self._nodes),
            )
        return _count(self._node.node_id, self._nodes, members, size)

    def _on_vm_list(self, event: VmListChanged) -> None:
        fleet = self._node.fleet
        # A node that is missing in its own list still sends.
        nodes = frozenset(
            (self._node.node_id, *(NodeId(vm.vm_id) for vm in fleet.nodes())),
        )
        if nodes != self._nodes:
            self._nodes = nodes
            self._counts = {}
        for service in tuple(self._counts):
            if tuple(fleet.of_service(service)) != self._members[service]:
                self._counts.pop(service)


def _count(
    own_id: NodeId,
    nodes: frozenset[NodeId],
    members: Sequence[Upstream],
    size: int,
) -> Mapping[UpstreamId, int]:
    counts = dict.fromkeys(choose_subset(own_id, members, size), 1)
    for node_id in nodes - {own_id}:
        for upstream_id in choose_subset(node_id, members, size):
            if upstream_id in counts:
                counts[upstream_id] += 1
    return counts

"""Which nodes read the store for the others."""

import xxhash

from figdoor_decisions.gossip._members import Members
from figdoor_kernel import (
    Extension,
    MembersChanged,
    Node,
    NodeId,
    Service,
)

# One reader may lose the store or its process without the others noticing
# anything but silence, so there are two.
READERS = 2


class StoreReaders(Service):
    """The first nodes in the order of their hashes read the store.

    Nodes that know of different members may differ about who reads. Too many
    readers cost calls only, and where there are too few the others notice
    that nobody confirms what they know.
    """

    def __init__(self, node: Node) -> None:
        """Follow the members."""
        self._node = node
        self._members: Members = node.part(Extension.SERVICE, 'members')
        self._readers: frozenset[NodeId] = frozenset((node.node_id,))
        node.events.subscribe(MembersChanged, self._on_members)

    @property
    def is_reader(self) -> bool:
        """Whether this node reads for the others."""
        return self._node.node_id in self._readers

    def _on_members(self, event: MembersChanged) -> None:
        names = [NodeId(vm.vm_id) for vm in event.members]
        ranked = sorted(names, key=_rank)
        self._readers = frozenset(ranked[:READERS])


def _rank(node_id: NodeId) -> tuple[int, NodeId]:
    return xxhash.xxh64_intdigest(node_id.encode()), node_id

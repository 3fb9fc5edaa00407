"""Selects the nodes that read the store for the others."""

import xxhash

from figdoor_decisions.gossip._members import Members
from figdoor_kernel import (
    Extension,
    MembersChanged,
    Node,
    NodeId,
    Service,
)

# A single reader that fails or loses the store would be noticed only by a
# time-out of the others, so there are two.
READER_COUNT = 2


class StoreReaders(Service):
    """Selects the first members in the order of their hashes as readers.

    Nodes with different members may select different readers. Too many readers
    only cost calls; with too few, the other nodes notice that nobody confirms
    their items and read the store themselves.
    """

    def __init__(self, node: Node) -> None:
        """Subscribe to members; until they are published, this node reads."""
        self._node = node
        self._members: Members = node.part(Extension.SERVICE, 'members')
        self._readers: frozenset[NodeId] = frozenset((node.node_id,))
        node.events.subscribe(MembersChanged, self._on_members)

    @property
    def is_reader(self) -> bool:
        """Whether this node reads the store for the others."""
        return self._node.node_id in self._readers

    def _on_members(self, event: MembersChanged) -> None:
        node_ids = [NodeId(vm.vm_id) for vm in event.members]
        ranked = sorted(node_ids, key=_rank)
        self._readers = frozenset(ranked[:READER_COUNT])


def _rank(node_id: NodeId) -> tuple[int, NodeId]:
    return xxhash.xxh64_intdigest(node_id.encode()), node_id

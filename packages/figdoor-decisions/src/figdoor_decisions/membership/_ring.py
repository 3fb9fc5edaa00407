"""The hash ring of nodes, on which each node finds its neighbours."""

from collections.abc import Iterable

import xxhash

from figdoor_kernel import NodeId


def neighbours_of(
    own: NodeId,
    node_ids: Iterable[NodeId],
) -> tuple[NodeId, ...]:
    """Return the nodes at distances 1, 2, 4, 8, ... after ``own``.

    ``own`` has a position on the ring even if the VM list does not contain
    it yet.
    """
    ring = sorted({own, *node_ids}, key=_position)
    start = ring.index(own)
    size = len(ring)
    distances = (1 << power for power in range((size - 1).bit_length()))
    return tuple(ring[(start + distance) % size] for distance in distances)


def _position(node_id: NodeId) -> tuple[int, NodeId]:
    return xxhash.xxh64_intdigest(node_id.encode()), node_id

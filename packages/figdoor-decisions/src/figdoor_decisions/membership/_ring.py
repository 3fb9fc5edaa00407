"""The hash ring of nodes."""

from collections.abc import Iterable

import xxhash

from figdoor_kernel import NodeId


def neighbours_of(
    own: NodeId,
    listed: Iterable[NodeId],
) -> tuple[NodeId, ...]:
    """Return the nodes at distances 1, 2, 4, 8, ... after ``own``.

    The node takes its place on the ring even where the list does not show it
    yet.
    """
    ring = sorted({own, *listed}, key=_position)
    start = ring.index(own)
    size = len(ring)
    distances = (1 << power for power in range((size - 1).bit_length()))
    return tuple(ring[(start + distance) % size] for distance in distances)


def _position(node_id: NodeId) -> tuple[int, NodeId]:
    return xxhash.xxh64_intdigest(node_id.encode()), node_id

"""Selects the nodes that watch the configuration service by long polling."""

from collections.abc import Iterable

import xxhash

from figdoor_kernel import AvailabilityZoneName, NodeId, Vm, VmState

WATCHERS_PER_ZONE = 2


def is_watcher(
    own: NodeId,
    zone: AvailabilityZoneName,
    nodes: Iterable[Vm],
) -> bool:
    """Return whether rendezvous hashing selects this node in its zone."""
    ranked = sorted(
        (
            NodeId(vm.vm_id)
            for vm in nodes
            if vm.availability_zone == zone and vm.state is VmState.LIVE
        ),
        key=_score,
    )
    return own in ranked[:WATCHERS_PER_ZONE]


def _score(node_id: NodeId) -> tuple[int, NodeId]:
    return xxhash.xxh64_intdigest(f'watch {node_id}'.encode()), node_id

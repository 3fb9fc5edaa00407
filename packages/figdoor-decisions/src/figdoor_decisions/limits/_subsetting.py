"""Which upstreams of a large pool one node uses.

A node's subset depends on its own id and the upstreams only, so that
replacing another node changes nothing, and replacing an upstream changes at
most one member for each member of the availability zone that changed.
"""

from collections.abc import Sequence
from functools import partial

from xxhash import xxh64_intdigest

from figdoor_kernel import (
    AvailabilityZoneName,
    NodeId,
    Upstream,
    UpstreamId,
)


def choose_subset(
    node_id: NodeId,
    upstreams: Sequence[Upstream],
    size: int,
) -> frozenset[UpstreamId]:
    """Return the ids of ``size`` upstreams, the whole pool where it is small.

    Each availability zone gives members in proportion to its upstreams.
    Within one the highest rendezvous hashes of node and upstream win.
    """
    if len(upstreams) <= size:
        return frozenset(upstream.upstream_id for upstream in upstreams)
    zones: dict[AvailabilityZoneName, list[UpstreamId]] = {}
    for upstream in upstreams:
        members = zones.setdefault(upstream.availability_zone, [])
        members.append(upstream.upstream_id)
    quotas = _quotas(
        {zone: len(members) for zone, members in zones.items()},
        size,
    )
    chosen: set[UpstreamId] = set()
    for zone, members in zones.items():
        members.sort(key=partial(rank, node_id), reverse=True)
        chosen.update(members[: quotas[zone]])
    return frozenset(chosen)


def rank(node_id: NodeId, upstream_id: UpstreamId) -> int:
    """Return the rendezvous hash of a node and an upstream."""
    key = f'{node_id}\0{upstream_id}'
    return xxh64_intdigest(key.encode())


def _quotas(
    counts: dict[AvailabilityZoneName, int],
    size: int,
) -> dict[AvailabilityZoneName, int]:
    """Divide ``size`` by the largest remainders."""
    total = sum(counts.values())
    quotas = {zone: size * count // total for zone, count in counts.items()}
    by_remainder = sorted(
        counts,
        key=lambda zone: (-(size * counts[zone] % total), zone),
    )
    for zone in by_remainder[: size - sum(quotas.values())]:
        quotas[zone] += 1
    return quotas

"""Subsets of large pools: the upstreams that one node uses.

A node's subset depends only on its own id and the upstreams. Replacing another
node does not change it, and replacing an upstream by another one of the same
availability zone replaces at most one upstream of the subset.
"""

from collections.abc import Sequence
from functools import lru_cache, partial

from xxhash import xxh64_intdigest

from figdoor_kernel import (
    AvailabilityZoneName,
    NodeId,
    Upstream,
    UpstreamId,
)

# The hashes of one node and the upstreams of a large deployment.
MAX_CACHED_HASHES = 2048


def choose_subset(
    node_id: NodeId,
    upstreams: Sequence[Upstream],
    size: int,
) -> frozenset[UpstreamId]:
    """Return the ids of ``size`` upstreams, or of all where there are fewer.

    The availability zones are represented in proportion to their upstreams.
    Within a zone, the upstreams with the highest rendezvous hashes are taken.
    """
    if len(upstreams) <= size:
        return frozenset(upstream.upstream_id for upstream in upstreams)
    zones: dict[AvailabilityZoneName, list[UpstreamId]] = {}
    for upstream in upstreams:
        upstream_ids = zones.setdefault(upstream.availability_zone, [])
        upstream_ids.append(upstream.upstream_id)
    quotas = _quotas(
        {zone: len(upstream_ids) for zone, upstream_ids in zones.items()},
        size,
    )
    subset: set[UpstreamId] = set()
    for zone, upstream_ids in zones.items():
        upstream_ids.sort(key=partial(rendezvous_hash, node_id), reverse=True)
        subset.update(upstream_ids[: quotas[zone]])
    return frozenset(subset)


@lru_cache(maxsize=MAX_CACHED_HASHES)
def rendezvous_hash(node_id: NodeId, upstream_id: UpstreamId) -> int:
    """Return the hash of a node and an upstream."""
    key = f'{node_id}\0{upstream_id}'
    return xxh64_intdigest(key.encode())


def _quotas(
    counts: dict[AvailabilityZoneName, int],
    size: int,
) -> dict[AvailabilityZoneName, int]:
    """Divide ``size`` among the zones by the largest remainder method."""
    total = sum(counts.values())
    quotas = {zone: size * count // total for zone, count in counts.items()}
    by_remainder = sorted(
        counts,
        key=lambda zone: (-(size * counts[zone] % total), zone),
    )
    for zone in by_remainder[: size - sum(quotas.values())]:
        quotas[zone] += 1
    return quotas

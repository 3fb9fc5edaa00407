"""Rows of the operator pages, as JSON values."""

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Any

from figdoor_kernel import (
    AvailabilityZoneName,
    Node,
    UpstreamId,
    UpstreamState,
    VmState,
)

Rows = list[dict[str, Any]]


def routes(node: Node) -> Rows:
    """Return the routes table in force."""
    table = node.tables.routes if node.tables else ()
    return [
        {
            'route': route.name,
            'authority': route.authority,
            'path_prefix': route.path_prefix,
            'operations': _join(route.operations) or '*',
            'pool': route.pool,
            'idempotent': _join(route.idempotent),
            'tenant': route.tenant or f'header:{route.tenant_attribute}',
            'deadline_ms': route.deadline_ms,
            'retry_percent': route.retry_percent,
            'response_size': route.response_size.value,
            'public': 'yes' if route.is_public else 'no',
            'request_size': route.request_size.value,
        }
        for route in table
    ]


def pools(node: Node) -> Rows:
    """Return the pools in force, with the zones that the row ``*`` allows."""
    table = node.tables.pools.values() if node.tables else ()
    return [
        {
            'pool': pool.name,
            'service': pool.service,
            'availability_zones': _join(pool.availability_zones),
            'slots': pool.slots,
            'connections': pool.connections,
            'cold_limit': pool.cold_limit,
            'probes_per_s': pool.probes_per_s,
        }
        for pool in table
    ]


def tenants(node: Node) -> Rows:
    """Return the tenants in force; keys and their digests are not shown."""
    table = node.tables.tenants.values() if node.tables else ()
    return [
        {
            'tenant': tenant.name,
            'keys': len(tenant.key_digests),
            'priority': '' if tenant.priority is None else tenant.priority,
            'rate_per_s': tenant.rate_per_s,
            'burst': tenant.burst,
        }
        for tenant in table
    ]


def upstreams(
    node: Node,
    states: Mapping[UpstreamId, UpstreamState],
) -> Rows:
    """Return all listed upstreams with their states known to this node."""
    return [
        {
            'upstream': upstream.upstream_id,
            'service': upstream.service,
            'availability_zone': upstream.availability_zone,
            'vm_state': upstream.vm_state.value,
            'state': _state(states.get(upstream.upstream_id)),
            'in_flight': upstream.in_flight,
            'instance': upstream.report.instance if upstream.report else '',
        }
        for upstream in node.fleet.upstreams()
    ]


def availability_zones(node: Node) -> Rows:
    """Return the availability zones of pools and upstreams, with counts."""
    pools = node.tables.pools.values() if node.tables else ()
    pool_counts = Counter(
        zone for pool in pools for zone in pool.availability_zones
    )
    live: Counter[AvailabilityZoneName] = Counter()
    leaving: Counter[AvailabilityZoneName] = Counter()
    for upstream in node.fleet.upstreams():
        counts = live if upstream.vm_state is VmState.LIVE else leaving
        counts[upstream.availability_zone] += 1
    return [
        {
            'availability_zone': zone,
            'pools': pool_counts[zone],
            'live_upstreams': live[zone],
            'leaving_upstreams': leaving[zone],
        }
        for zone in sorted({*pool_counts, *live, *leaving})
    ]


def _state(state: UpstreamState | None) -> str:
    return state.value if state else ''


def _join(names: Iterable[str]) -> str:
    return ' '.join(sorted(names))

"""What is in force on this node, and why."""

from collections.abc import Iterable, Mapping, Sequence
from html import escape
from typing import Any

from figdoor_kernel import Extension, Node


def describe(node: Node) -> dict[str, Any]:
    """Return state, tables and upstreams as JSON values."""
    now_ms = node.clock.now_ms()
    readiness = node.part(Extension.SERVICE, 'readiness')
    acceptance = node.part(Extension.SERVICE, 'acceptance')
    return {
        'node': node.node_id,
        'availability_zone': node.availability_zone,
        'state': readiness.state.value,
        'not_ready_because': list(readiness.reasons(now_ms)),
        'revision': acceptance.revision,
        'refused_revision': acceptance.refused_revision,
        'findings': [str(finding) for finding in acceptance.findings],
        'routes': _routes(node),
        'pools': _pools(node),
        'upstreams': _upstreams(node),
    }


def render_page(described: Mapping[str, Any]) -> str:
    """Return a page with the same facts as tables."""
    title = f'figdoor {escape(described["node"])}'
    facts = [
        {'fact': name, 'value': fact}
        for name, fact in described.items()
        if name not in {'routes', 'pools', 'upstreams'}
    ]
    sections = [
        _section(title, facts),
        *(
            _section(name, described[name])
            for name in ('routes', 'pools', 'upstreams')
        ),
    ]
    body = ''.join(sections)
    return f'<!doctype html><title>{title}</title><body>{body}</body>'


def _routes(node: Node) -> list[dict[str, Any]]:
    routes = node.tables.routes if node.tables else ()
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
        }
        for route in routes
    ]


def _pools(node: Node) -> list[dict[str, Any]]:
    pools = node.tables.pools.values() if node.tables else ()
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
        for pool in pools
    ]


def _upstreams(node: Node) -> list[dict[str, Any]]:
    return [
        {
            'upstream': upstream.upstream_id,
            'service': upstream.service,
            'availability_zone': upstream.availability_zone,
            'vm_state': upstream.vm_state.value,
            'in_flight': upstream.in_flight,
            'instance': upstream.report.instance if upstream.report else '',
        }
        for upstream in node.fleet.upstreams()
    ]


def _join(names: Iterable[str]) -> str:
    return ' '.join(sorted(names))


def _section(title: str, rows: Sequence[Mapping[str, Any]]) -> str:
    if not rows:
        return f'<h2>{title}</h2><p>none</p>'
    head = ''.join(f'<th>{escape(name)}</th>' for name in rows[0])
    lines = [
        ''.join(f'<td>{escape(str(cell))}</td>' for cell in row.values())
        for row in rows
    ]
    body = ''.join(f'<tr>{line}</tr>' for line in lines)
    return f'<h2>{title}</h2><table><tr>{head}</tr>{body}</table>'

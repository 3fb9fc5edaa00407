"""The status of one node as lines of text."""

from collections.abc import Iterator

from returns.pipeline import is_successful

from figdoor_ctl.status._reading import Facts, NodeStatus


def render_node(status: NodeStatus) -> str:
    """Return what is in force on a node, or why that is not known."""
    if is_successful(status.facts):
        return '\n'.join(_lines(status.address, status.facts.unwrap()))
    return f'{status.address}  cannot be read: {status.facts.failure()}'


def _lines(address: str, facts: Facts) -> Iterator[str]:
    yield (
        f'{address}  {facts.node} in {facts.availability_zone}: '
        f'{facts.state.value}, revision {facts.revision}, '
        f'{len(facts.routes)} routes, {len(facts.pools)} pools, '
        f'{facts.upstream_count} upstreams'
    )
    for reason in facts.not_ready_because:
        yield f'  not ready: {reason}'
    if facts.findings:
        yield f'  refused revision {facts.refused_revision}:'
    for finding in facts.findings:
        yield f'    {finding}'

"""Renders the status of a node as text."""

from collections.abc import Iterator

from returns.pipeline import is_successful

from figdoor_ctl.status._reading import NodeReport, NodeStatus


def render_node(status: NodeStatus) -> str:
    """Return the state of a node, or why it cannot be read."""
    if is_successful(status.report):
        return '\n'.join(_lines(status.address, status.report.unwrap()))
    return f'{status.address}  cannot be read: {status.report.failure()}'


def _lines(address: str, report: NodeReport) -> Iterator[str]:
    yield (
        f'{address}  {report.node} in {report.availability_zone}: '
        f'{report.state.value}, revision {report.revision}, '
        f'{len(report.routes)} routes, {len(report.pools)} pools, '
        f'{report.upstream_count} upstreams'
    )
    if report.evacuated:
        yield f'  evacuated zones: {", ".join(report.evacuated)}'
    for reason in report.not_ready_because:
        yield f'  not ready: {reason}'
    if report.findings:
        yield f'  refused revision {report.refused_revision}:'
    for finding in report.findings:
        yield f'    {finding}'

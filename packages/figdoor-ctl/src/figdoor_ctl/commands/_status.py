"""``status``: shows what is in force on nodes and where they disagree."""

import re
from collections.abc import Iterable, Sequence
from typing import TextIO

from returns.pipeline import is_successful

from figdoor_ctl.command import Command, print_usage
from figdoor_ctl.exits import ExitCode
from figdoor_ctl.status import (
    Fetch,
    NodeReport,
    NodeStatus,
    differences,
    fetch_all,
    render_node,
)
from figdoor_kernel import NodeState

_ADDRESS = re.compile(r'([a-zA-Z0-9.-]+|\[[0-9a-fA-F:.]+\]):[0-9]{1,5}')
_DESCRIPTION = """\
Reads from the operator port of each node what is in force there, and prints
the differences between nodes in revision, state, findings and table rows.

Exit codes: 0 all nodes are ready, agree and have refused no newer tables;
1 a node is not ready, has refused tables, or disagrees with another node;
2 wrong usage, or a node that cannot be read."""


def status(
    arguments: Sequence[str],
    out: TextIO,
    fetch: Fetch = fetch_all,
) -> ExitCode:
    """Print the state of each node and every difference between nodes."""
    if not arguments or not all(map(_ADDRESS.fullmatch, arguments)):
        return print_usage(STATUS.usage, out)
    statuses = fetch(tuple(dict.fromkeys(arguments)))
    for node in statuses:
        out.write(f'{render_node(node)}\n')
    reports = {
        node.address: node.report.unwrap()
        for node in statuses
        if is_successful(node.report)
    }
    disagreements = list(differences(reports))
    for line in disagreements:
        out.write(f'difference in {line}\n')
    if not disagreements and len(reports) > 1:
        out.write(f'{len(reports)} nodes agree\n')
    return _exit_code(statuses, reports.values(), bool(disagreements))


def _exit_code(
    statuses: Sequence[NodeStatus],
    reports: Iterable[NodeReport],
    differ: bool,
) -> ExitCode:
    if not all(is_successful(node.report) for node in statuses):
        return ExitCode.USAGE
    if differ or not all(map(_is_healthy, reports)):
        return ExitCode.FINDINGS
    return ExitCode.OK


def _is_healthy(report: NodeReport) -> bool:
    refused = report.refused_revision > report.revision
    return report.state is NodeState.READY and not refused


STATUS = Command(
    'status',
    'HOST:PORT ...',
    'show what is in force on nodes and where they disagree',
    _DESCRIPTION,
    status,
)

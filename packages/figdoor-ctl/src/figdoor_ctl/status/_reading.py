"""Parses the JSON of a node's operator port."""

import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from returns.result import Failure, Result, Success

from figdoor_kernel import NodeState

Row = Mapping[str, Any]
Rows = Mapping[str, Row]


@dataclass(frozen=True, slots=True)
class NodeReport:
    """State and tables in force on a node; table rows are keyed by name."""

    node: str
    availability_zone: str
    state: NodeState
    not_ready_because: tuple[str, ...]
    revision: int
    refused_revision: int
    findings: tuple[str, ...]
    routes: Rows
    pools: Rows
    upstream_count: int
    tenants: Rows = field(default_factory=dict)
    evacuated: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class NodeStatus:
    """The report of the node at an address, or why it cannot be read."""

    address: str
    report: Result[NodeReport, str]


def parse_report(text: bytes) -> Result[NodeReport, str]:
    """Parse the response body of ``GET /in-force``."""
    try:
        return Success(_make_report(json.loads(text)))
    except (KeyError, TypeError, ValueError) as error:
        return Failure(f'not a response of a figdoor node: {error!r}')


def _make_report(fields: Mapping[str, Any]) -> NodeReport:
    return NodeReport(
        str(fields['node']),
        str(fields['availability_zone']),
        NodeState(fields['state']),
        tuple(fields['not_ready_because']),
        int(fields['revision']),
        int(fields['refused_revision']),
        tuple(fields['findings']),
        {str(row['route']): row for row in fields['routes']},
        {str(row['pool']): row for row in fields['pools']},
        len(fields['upstreams']),
        # Nodes of an earlier release report no tenants or evacuated zones.
        {str(row['tenant']): row for row in fields.get('tenants', ())},
        tuple(map(str, fields.get('evacuated', ()))),
    )

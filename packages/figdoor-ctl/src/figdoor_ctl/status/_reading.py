"""The JSON of a node's operator port as typed values."""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from returns.result import Failure, Result, Success

from figdoor_kernel import NodeState

Row = Mapping[str, Any]
Rows = Mapping[str, Row]


@dataclass(frozen=True, slots=True)
class Facts:
    """What one node says is in force; rows are keyed by their names."""

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


@dataclass(frozen=True, slots=True)
class NodeStatus:
    """What an address answered: facts, or why there are none."""

    address: str
    facts: Result[Facts, str]


def read_facts(text: bytes) -> Result[Facts, str]:
    """Read the answer to ``GET /in-force``."""
    try:
        return Success(_make_facts(json.loads(text)))
    except (KeyError, TypeError, ValueError) as error:
        return Failure(f'not the answer of a figdoor node: {error!r}')


def _make_facts(told: Mapping[str, Any]) -> Facts:
    return Facts(
        str(told['node']),
        str(told['availability_zone']),
        NodeState(told['state']),
        tuple(told['not_ready_because']),
        int(told['revision']),
        int(told['refused_revision']),
        tuple(told['findings']),
        {str(row['route']): row for row in told['routes']},
        {str(row['pool']): row for row in told['pools']},
        len(told['upstreams']),
    )

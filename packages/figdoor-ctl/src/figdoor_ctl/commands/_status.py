"""``status``: says what is in force on nodes and where they disagree."""

import re
from collections.abc import Iterable, Sequence
from typing import TextIO

from returns.pipeline import is_successful

from figdoor_ctl.command import Command, wrong_usage
from figdoor_ctl.exits import Exit
from figdoor_ctl.status import (
    Facts,
    Fetch,
    NodeStatus,
    differences,
    fetch_all,
    render_node,
)
from figdoor_kernel import NodeState

_ADDRESS = re.compile(r'([a-zA-Z0-9.-]+|\[[0-9a-fA-F:.]+\]):[0-9]{1,5}')
_DESCRIPTION = """\
Asks the operator port of each node what is in force there, and prints where
the nodes disagree: revision, state, findings and rows of the tables.

Exit codes: 0 all nodes are ready, agree and have refused no newer tables;
1 a node is not ready, has refused tables, or disagrees with another one;
2 wrong usage, or a node that cannot be read."""


def status(
    arguments: Sequence[str],
    out: TextIO,
    fetch: Fetch = fetch_all,
) -> Exit:
    """Print what is in force on each node and every difference."""
    if not arguments or not all(map(_ADDRESS.fullmatch, arguments)):
        return wrong_usage(STATUS.usage, out)
    answers = fetch(tuple(dict.fromkeys(arguments)))
    for answer in answers:
        out.write(f'{render_node(answer)}\n')
    facts = {
        answer.address: answer.facts.unwrap()
        for answer in answers
        if is_successful(answer.facts)
    }
    found = list(differences(facts))
    for line in found:
        out.write(f'difference in {line}\n')
    if not found and len(facts) > 1:
        out.write(f'{len(facts)} nodes agree\n')
    return _verdict(answers, facts.values(), bool(found))


def _verdict(
    answers: Sequence[NodeStatus],
    facts: Iterable[Facts],
    differ: bool,
) -> Exit:
    if not all(is_successful(answer.facts) for answer in answers):
        return Exit.USAGE
    if differ or not all(map(_is_fine, facts)):
        return Exit.FINDINGS
    return Exit.FINE


def _is_fine(facts: Facts) -> bool:
    refused = facts.refused_revision > facts.revision
    return facts.state is NodeState.READY and not refused


STATUS = Command(
    'status',
    'HOST:PORT ...',
    'show what is in force on nodes and where they disagree',
    _DESCRIPTION,
    status,
)

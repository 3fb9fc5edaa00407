"""Compares what a trace states with what the decisions did."""

from collections.abc import Iterator, Mapping
from typing import Any

from figdoor_kernel import Finding, Finish, Place, Send, Step
from figdoor_traces._format import Line
from figdoor_traces._guidance import Guide

Statement = Mapping[str, Any]
_STEP = 'step'


def describe_step(step: Step, guide: Guide) -> Statement:
    """Return all that can be stated about a step."""
    if isinstance(step, Send):
        return {
            _STEP: 'send',
            'upstream': step.upstream.upstream_id,
            'attempt_number': step.attempt_number,
            'deadline_ms': step.deadline_ms,
        }
    if isinstance(step, Finish):
        return {
            _STEP: 'finish',
            'outcome': step.outcome.value,
            'refusal': step.refusal.value if step.refusal else None,
        }
    return {_STEP: 'wait', 'until_ms': step.until_ms, 'asked': guide.asked}


def compare(source: str, line: Line, found: Statement) -> Iterator[Finding]:
    """Return one finding for each statement that does not hold."""
    for name, stated in line.expected.items():
        seen = found.get(name)
        if seen != stated:
            place = Place(source, line.number, name)
            yield Finding(place, f'stated {stated!r}, found {seen!r}')

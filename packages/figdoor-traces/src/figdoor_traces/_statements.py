"""Comparison of the statements of a trace with the decisions made."""

from collections.abc import Iterator, Mapping
from typing import Any

from figdoor_kernel import Finding, Finish, Place, Send, Step
from figdoor_traces._choices import RecordedChoices
from figdoor_traces._format import Line

Facts = Mapping[str, Any]
_STEP = 'step'


def describe_step(step: Step, choices: RecordedChoices) -> Facts:
    """Return the facts about a step that a statement can name."""
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
    return {
        _STEP: 'wait',
        'until_ms': step.until_ms,
        'asked': choices.requested,
    }


def compare(source: str, line: Line, facts: Facts) -> Iterator[Finding]:
    """Return one finding for each statement that does not hold."""
    for name, stated in line.expected.items():
        actual = facts.get(name)
        if actual != stated:
            place = Place(source, line.number, name)
            yield Finding(place, f'stated {stated!r}, found {actual!r}')

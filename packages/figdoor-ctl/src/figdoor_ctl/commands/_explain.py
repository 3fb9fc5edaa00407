"""``explain``: tells what became of one request, from log files."""

import json
from collections.abc import Iterable, Iterator, Mapping, Sequence
from pathlib import Path
from typing import Any, TextIO

from figdoor_ctl.command import Command, wrong_usage
from figdoor_ctl.exits import Exit

Line = Mapping[str, Any]

# What a node believed is shown from this long before the request ended.
CONTEXT_S = 10.0
_BELIEFS = frozenset(
    (
        'tables-accepted',
        'tables-refused',
        'upstream',
        'dependency',
        'node-state',
        'reload',
        'start',
        'stop',
        'lines-dropped',
    ),
)
_DESCRIPTION = """\
Collects the lines about one request from the JSON logs of nodes and tells
them in their order, with what the node believed of the upstreams concerned
in the 10 s before. Each attempt of a caller has an id of its own.

Exit codes: 0 the request was found, 1 it was not, 2 wrong usage or a file
that cannot be read."""


def explain(arguments: Sequence[str], out: TextIO) -> Exit:
    """Print the story of a request."""
    if len(arguments) < 2:
        return wrong_usage(EXPLAIN.usage, out)
    request, *paths = arguments
    lines: list[Line] = []
    for path in paths:
        try:
            text = Path(path).read_text(encoding='utf-8', errors='replace')
        except OSError as error:
            out.write(f'{path}: cannot be read: {error}\n')
            return Exit.USAGE
        lines.extend(_read_lines(text))
    calls = [one for one in lines if one.get('request') == request]
    for call in calls:
        for line in _story(call, lines):
            out.write(f'{_render(line)}\n')
    if calls:
        return Exit.FINE
    out.write(f'no line is about request {request}\n')
    return Exit.FINDINGS


def _read_lines(text: str) -> Iterator[Line]:
    """Yield the structured lines; a collector may have put text before."""
    for raw in text.splitlines():
        start = raw.find('{')
        if start < 0:
            continue
        try:
            line = json.loads(raw[start:])
        except ValueError:
            # A line of another program, or one that was cut.
            continue
        if isinstance(line, dict) and 'event' in line:
            yield line


def _story(call: Line, lines: Iterable[Line]) -> list[Line]:
    """Return what the call's node believed before, and the call itself."""
    upstreams = {one.get('upstream') for one in call.get('attempts', ())}
    ended_s = call.get('at_s', 0)
    told = [
        line
        for line in lines
        if line['event'] in _BELIEFS
        and line.get('node') == call.get('node')
        and 0 <= ended_s - line.get('at_s', 0) <= CONTEXT_S
        and ('upstream' not in line or line['upstream'] in upstreams)
    ]
    told.sort(key=_time_of)
    return [*told, call]


def _time_of(line: Line) -> float:
    return float(line.get('at_s', 0))


def _render(line: Line) -> str:
    head = f'{_time_of(line):.3f} {line.get("node", "")} {line["event"]}'
    plain = {
        name: found
        for name, found in line.items()
        if name not in {'event', 'node', 'at_s', 'attempts'}
    }
    parts = [head, *(f'{name}={found}' for name, found in plain.items())]
    told = [' '.join(parts)]
    for attempt in line.get('attempts', ()):
        fields = ' '.join(f'{name}={found}' for name, found in attempt.items())
        told.append(f'    attempt {fields}')
    return '\n'.join(told)


EXPLAIN = Command(
    'explain',
    'REQUEST LOG ...',
    'tell what became of one request, from log files',
    _DESCRIPTION,
    explain,
)

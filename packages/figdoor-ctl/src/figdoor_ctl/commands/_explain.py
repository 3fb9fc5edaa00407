"""``explain``: shows the log lines that explain the outcome of a request."""

import json
from collections.abc import Iterable, Iterator, Mapping, Sequence
from pathlib import Path
from typing import Any, TextIO

from figdoor_ctl.command import Command, print_usage
from figdoor_ctl.exits import ExitCode

Line = Mapping[str, Any]

# Changes of the node's state are shown from this long before the call ended.
CONTEXT_S = 10.0
_STATE_EVENTS = frozenset(
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
Prints the lines about one request from the JSON logs of nodes. Lines from the
10 s before it ended show how the state of the node and of the upstreams
concerned changed. Each attempt of a caller has its own request id.

Exit codes: 0 the request was found, 1 it was not, 2 wrong usage or a file
that cannot be read."""


def explain(arguments: Sequence[str], out: TextIO) -> ExitCode:
    """Print each call with this request id and the lines that explain it."""
    if len(arguments) < 2:
        return print_usage(EXPLAIN.usage, out)
    request, *paths = arguments
    lines: list[Line] = []
    for path in paths:
        try:
            text = Path(path).read_text(encoding='utf-8', errors='replace')
        except OSError as error:
            out.write(f'{path}: cannot be read: {error}\n')
            return ExitCode.USAGE
        lines.extend(_read_lines(text))
    calls = [line for line in lines if line.get('request') == request]
    for call in calls:
        for line in _with_context(call, lines):
            out.write(f'{_render(line)}\n')
    if calls:
        return ExitCode.OK
    out.write(f'no line is about request {request}\n')
    return ExitCode.FINDINGS


def _read_lines(text: str) -> Iterator[Line]:
    """Yield the JSON lines, without what a log collector put before them."""
    for raw in text.splitlines():
        start = raw.find('{')
        if start < 0:
            continue
        try:
            line = json.loads(raw[start:])
        except ValueError:
            # Lines of other programs and truncated lines are not JSON.
            continue
        if isinstance(line, dict) and 'event' in line:
            yield line


def _with_context(call: Line, lines: Iterable[Line]) -> list[Line]:
    """Return the state changes on the call's node before it, then the call."""
    upstreams = {
        attempt.get('upstream') for attempt in call.get('attempts', ())
    }
    ended_at_s = call.get('at_s', 0)
    context = [
        line
        for line in lines
        if line['event'] in _STATE_EVENTS
        and line.get('node') == call.get('node')
        and 0 <= ended_at_s - line.get('at_s', 0) <= CONTEXT_S
        and ('upstream' not in line or line['upstream'] in upstreams)
    ]
    context.sort(key=_time_of)
    return [*context, call]


def _time_of(line: Line) -> float:
    return float(line.get('at_s', 0))


def _render(line: Line) -> str:
    head = f'{_time_of(line):.3f} {line.get("node", "")} {line["event"]}'
    fields = {
        name: field
        for name, field in line.items()
        if name not in {'event', 'node', 'at_s', 'attempts'}
    }
    parts = [head, *(f'{name}={field}' for name, field in fields.items())]
    rendered = [' '.join(parts)]
    for attempt in line.get('attempts', ()):
        details = ' '.join(f'{name}={field}' for name, field in attempt.items())
        rendered.append(f'    attempt {details}')
    return '\n'.join(rendered)


EXPLAIN = Command(
    'explain',
    'REQUEST LOG ...',
    'show from log files what happened to a request',
    _DESCRIPTION,
    explain,
)

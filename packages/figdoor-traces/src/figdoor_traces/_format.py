"""Traces as typed lines; docs/traces.md describes them for people."""

import json
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Any

from returns.result import Failure, Result, Success

from figdoor_kernel import (
    AvailabilityZoneName,
    Finding,
    NodeId,
    Options,
    Place,
)
from figdoor_traces._codec import decode

FORMAT_VERSION = 1
_ACTION = 'do'
_AT_MS = 'at_ms'
_EXPECT = 'expect'


@unique
class Action(Enum):
    """What a line has the node do, or states of it."""

    TABLES = 'tables'
    VMS = 'vms'
    EVENT = 'event'
    CALL = 'call'
    NEXT_STEP = 'next_step'
    CONFIRM_SEND = 'confirm_send'
    BEGIN_ANSWER = 'begin_answer'
    END = 'end'
    ABANDON = 'abandon'
    CLOSED = 'closed'
    IN_FORCE = 'in_force'
    STOPPED = 'stopped'


@dataclass(frozen=True, slots=True)
class Header:
    """The node that a trace is about; the first line.

    ``recorded`` says that a gateway wrote the trace. Its choices among the
    allowed upstreams were random and are then taken from the trace.
    """

    trace: int
    node: NodeId
    availability_zone: AvailabilityZoneName
    about: str = ''
    seed: int = 0
    recorded: bool = False
    options: Options = field(default_factory=Options)


@dataclass(frozen=True, slots=True)
class Line:
    """One input or statement at a point on the node's clock."""

    number: int
    at_ms: float
    action: Action
    fields: Mapping[str, Any]
    expected: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class Trace:
    """A whole trace and where it came from."""

    source: str
    header: Header
    lines: tuple[Line, ...]


def read_trace(source: str, text: str) -> Result[Trace, tuple[Finding, ...]]:
    """Return the trace, or every finding about its lines.

    The last line is left out where it lacks its end mark, since a process
    that is killed may leave a part of a line.
    """
    raw_lines = text.split('\n')[:-1]
    findings: list[Finding] = []
    header: Header | None = None
    lines: list[Line] = []
    for number, raw in enumerate(raw_lines, start=1):
        try:
            told = _read_object(raw)
            if number == 1:
                header = _read_header(told)
            else:
                lines.append(_read_line(number, told))
        except (KeyError, TypeError, ValueError) as error:
            findings.append(Finding(Place(source, number), _text(error)))
    if not raw_lines:
        findings.append(Finding(Place(source), 'is empty'))
    if header is not None:
        findings.extend(_check_times(source, header, lines))
    if header is None or findings:
        return Failure(tuple(findings))
    return Success(Trace(source, header, tuple(lines)))


def _read_object(raw: str) -> dict[str, Any]:
    told = json.loads(raw)
    if not isinstance(told, dict):
        raise TypeError('is not a JSON object')
    return told


def _read_header(told: Mapping[str, Any]) -> Header:
    header: Header = decode(Header, told)
    if header.trace != FORMAT_VERSION:
        raise ValueError(f'trace format {header.trace}, not {FORMAT_VERSION}')
    return header


def _read_line(number: int, told: dict[str, Any]) -> Line:
    action = Action(told.pop(_ACTION))
    at_ms: float = decode(float, told.pop(_AT_MS))
    return Line(number, at_ms, action, told, told.pop(_EXPECT, {}))


def _check_times(
    source: str,
    header: Header,
    lines: list[Line],
) -> Iterator[Finding]:
    """Find lines that go back in time.

    A recording may, by the time between the reading of the clock and the
    event, since one event can contain others.
    """
    for before, after in zip(lines, lines[1:], strict=False):
        if after.at_ms < before.at_ms and not header.recorded:
            place = Place(source, after.number, _AT_MS)
            yield Finding(place, f'is before {before.at_ms}')


def _text(error: Exception) -> str:
    if isinstance(error, KeyError):
        return f'lacks {error}'
    return str(error)

"""Reader of the trace format, which docs/traces.md describes."""

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
    """What a line makes the node do, or asserts about it."""

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
    """The first line of a trace, which describes the node.

    ``recorded`` is true if a gateway wrote the trace. Its choices among the
    allowed upstreams were random, so a replay takes them from the trace.
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
    """One line after the header, at a time on the node's clock.

    ``fields`` are those of the input. ``expected`` are the statements about
    its result, by the name of the fact.
    """

    number: int
    at_ms: float
    action: Action
    fields: Mapping[str, Any]
    expected: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class Trace:
    """A whole trace; ``source`` names it in findings."""

    source: str
    header: Header
    lines: tuple[Line, ...]


def read_trace(source: str, text: str) -> Result[Trace, tuple[Finding, ...]]:
    """Return the trace, or all findings about its lines.

    A last line without a line end is ignored, since a process that is killed
    may leave an incomplete line.
    """
    raw_lines = text.split('\n')[:-1]
    findings: list[Finding] = []
    header: Header | None = None
    lines: list[Line] = []
    for number, raw in enumerate(raw_lines, start=1):
        try:
            record = _read_object(raw)
            if number == 1:
                header = _read_header(record)
            else:
                lines.append(_read_line(number, record))
        except (KeyError, TypeError, ValueError) as error:
            findings.append(Finding(Place(source, number), _message_of(error)))
    if not raw_lines:
        findings.append(Finding(Place(source), 'is empty'))
    if header is not None:
        findings.extend(_check_times(source, header, lines))
    if header is None or findings:
        return Failure(tuple(findings))
    return Success(Trace(source, header, tuple(lines)))


def _read_object(raw: str) -> dict[str, Any]:
    record = json.loads(raw)
    if not isinstance(record, dict):
        raise TypeError('is not a JSON object')
    return record


def _read_header(record: Mapping[str, Any]) -> Header:
    header: Header = decode(Header, record)
    if header.trace != FORMAT_VERSION:
        raise ValueError(
            f'unknown trace format {header.trace}, expected {FORMAT_VERSION}'
        )
    return header


def _read_line(number: int, record: dict[str, Any]) -> Line:
    action = Action(record.pop(_ACTION))
    at_ms: float = decode(float, record.pop(_AT_MS))
    return Line(number, at_ms, action, record, record.pop(_EXPECT, {}))


def _check_times(
    source: str,
    header: Header,
    lines: list[Line],
) -> Iterator[Finding]:
    """Return a finding for each line that goes back in time.

    Recordings are exempt: handling an event can publish others, so that an
    event is recorded some time after the clock was read for it.
    """
    for before, after in zip(lines, lines[1:], strict=False):
        if after.at_ms < before.at_ms and not header.recorded:
            place = Place(source, after.number, _AT_MS)
            yield Finding(
                place,
                f'is before {before.at_ms}, the time of the previous line',
            )


def _message_of(error: Exception) -> str:
    if isinstance(error, KeyError):
        return f'lacks {error}'
    return str(error)

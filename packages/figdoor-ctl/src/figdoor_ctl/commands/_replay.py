"""``replay``: runs traces through the installed decisions."""

from collections.abc import Sequence
from pathlib import Path
from typing import TextIO

from returns.result import Failure, Success

from figdoor_ctl.command import Command, print_usage
from figdoor_ctl.exits import ExitCode
from figdoor_kernel import render_findings
from figdoor_traces import Trace, read_trace
from figdoor_traces import replay as replay_trace

_DESCRIPTION = """\
Runs the inputs of each trace through the installed decisions on a virtual
clock and checks the statements of the trace about the results. docs/traces.md
describes the format. Traces that a gateway records with --trace_file can be
replayed too.

Exit codes: 0 every statement holds, 1 a statement does not hold, 2 wrong
usage or a file that is not a valid trace."""


def replay(arguments: Sequence[str], out: TextIO) -> ExitCode:
    """Print the result of each trace; return the highest exit code."""
    if not arguments:
        return print_usage(REPLAY.usage, out)
    return max(_replay_file(path, out) for path in arguments)


def _replay_file(path: str, out: TextIO) -> ExitCode:
    try:
        text = Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        out.write(f'{path}: cannot be read: {error}\n')
        return ExitCode.USAGE
    match read_trace(path, text):
        case Success(trace):
            return _print_result(trace, out)
        case Failure(findings):
            out.write(f'{render_findings(findings)}\n')
    return ExitCode.USAGE


def _print_result(trace: Trace, out: TextIO) -> ExitCode:
    verdict = replay_trace(trace)
    if verdict.errors:
        out.write(f'{render_findings(verdict.errors)}\n')
        return ExitCode.USAGE
    if verdict.mismatches:
        out.write(f'{render_findings(verdict.mismatches)}\n')
        count = len(verdict.mismatches)
        out.write(f'{trace.source}: {count} statements do not hold\n')
        return ExitCode.FINDINGS
    lines = len(trace.lines)
    out.write(
        f'{trace.source}: {verdict.checked} statements hold, {lines} lines\n',
    )
    return ExitCode.OK


REPLAY = Command(
    'replay',
    'TRACE.jsonl ...',
    'check the decisions against recorded or written traces',
    _DESCRIPTION,
    replay,
)

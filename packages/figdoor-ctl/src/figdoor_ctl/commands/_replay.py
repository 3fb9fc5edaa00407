"""``replay``: gives traces to the installed decisions and checks them."""

from collections.abc import Sequence
from pathlib import Path
from typing import TextIO

from returns.result import Failure, Success

from figdoor_ctl.command import Command, wrong_usage
from figdoor_ctl.exits import Exit
from figdoor_kernel import render_findings
from figdoor_traces import Trace, read_trace
from figdoor_traces import replay as replay_trace

_DESCRIPTION = """\
Gives the inputs of each trace to the installed decisions on a virtual clock
and checks what the trace states of their outcome. docs/traces.md describes
the format. A trace that a gateway recorded with --trace_file can be replayed
too.

Exit codes: 0 every statement holds, 1 a statement does not hold, 2 wrong
usage or a file that is no trace."""


def replay(arguments: Sequence[str], out: TextIO) -> Exit:
    """Print a verdict for each trace; return the worst."""
    if not arguments:
        return wrong_usage(REPLAY.usage, out)
    return max(_replay_file(path, out) for path in arguments)


def _replay_file(path: str, out: TextIO) -> Exit:
    try:
        text = Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        out.write(f'{path}: cannot be read: {error}\n')
        return Exit.USAGE
    match read_trace(path, text):
        case Success(trace):
            return _judge(trace, out)
        case Failure(findings):
            out.write(f'{render_findings(findings)}\n')
    return Exit.USAGE


def _judge(trace: Trace, out: TextIO) -> Exit:
    verdict = replay_trace(trace)
    if verdict.errors:
        out.write(f'{render_findings(verdict.errors)}\n')
        return Exit.USAGE
    if verdict.mismatches:
        out.write(f'{render_findings(verdict.mismatches)}\n')
        count = len(verdict.mismatches)
        out.write(f'{trace.source}: {count} statements do not hold\n')
        return Exit.FINDINGS
    lines = len(trace.lines)
    out.write(
        f'{trace.source}: {verdict.checked} statements hold, {lines} lines\n',
    )
    return Exit.FINE


REPLAY = Command(
    'replay',
    'TRACE.jsonl ...',
    'check what traces state of the decisions',
    _DESCRIPTION,
    replay,
)

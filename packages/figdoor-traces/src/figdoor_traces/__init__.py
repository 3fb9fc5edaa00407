"""Recording and replaying of what a node was given and what it decided.

docs/traces.md describes the format. Nothing here does any I/O::

    match read_trace('traces/lost.jsonl', text):
        case Success(trace):
            verdict = replay(trace)
"""

from figdoor_traces._codec import decode, encode
from figdoor_traces._format import (
    FORMAT_VERSION,
    Action,
    Header,
    Line,
    Trace,
    read_trace,
)
from figdoor_traces._recording import Recorder
from figdoor_traces._replaying import Verdict, replay
from figdoor_traces._seeding import SEED_BITS, TraceRandom

__all__ = (
    'FORMAT_VERSION',
    'SEED_BITS',
    'Action',
    'Header',
    'Line',
    'Recorder',
    'Trace',
    'TraceRandom',
    'Verdict',
    'decode',
    'encode',
    'read_trace',
    'replay',
)

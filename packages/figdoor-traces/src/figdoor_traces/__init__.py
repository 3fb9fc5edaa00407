"""Recording and replay of the inputs and decisions of a node.

docs/traces.md describes the format. Nothing here does any I/O::

    match read_trace('traces/lost.jsonl', text):
        case Success(trace):
            result = replay(trace)
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
from figdoor_traces._replaying import ReplayResult, replay
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
    'ReplayResult',
    'decode',
    'encode',
    'read_trace',
    'replay',
)

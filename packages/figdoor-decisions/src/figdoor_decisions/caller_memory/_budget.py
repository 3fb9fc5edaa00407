"""Limits for all callers together, from the limits of the process."""

from dataclasses import dataclass
from math import inf

_MEGABYTE = 1024 * 1024
# Memory of a node without callers: 77 MB at the size of docs/CAPACITY.md.
PROCESS_BYTES = 80 * _MEGABYTE
# The rest of the memory is for copies while bodies are passed on, for answers
# that upstreams are sending, and for fragmentation.
CALLER_SHARE = 0.5
MIN_CALLER_BYTES = 8 * _MEGABYTE
# What an open connection takes: its objects, and requests and answers of up to
# ``SMALL_BYTES``.
CONNECTION_BYTES = 16 * 1024
SMALL_BYTES = 8 * 1024
CONNECTIONS_SHARE = 0.5
# Descriptors of files and libraries; sockets share the others.
FILE_DESCRIPTORS = 200
# The other sockets lead to upstreams, peers, operators and the platform.
CALLER_DESCRIPTOR_SHARE = 0.75
MIN_CONNECTIONS = 64


@dataclass(frozen=True, slots=True)
class CallerBudget:
    """What a node keeps for its callers, ``inf`` where there is no limit.

    ``max_bytes`` counts ``CONNECTION_BYTES`` for each open connection and the
    larger requests and answers that it holds.
    """

    max_bytes: float = inf
    max_connections: float = inf


def caller_budget(memory_bytes: float, descriptors: float) -> CallerBudget:
    """Return the limits for a process with this memory and descriptors.

    Zero means that the process has no such limit. A node with 152 MB and 1,535
    descriptors holds up to 36 MB for up to 1,001 callers::

        >>> budget = caller_budget(152 * 1024 * 1024, 1535)
        >>> budget.max_bytes / 1024 / 1024, budget.max_connections
        (36.0, 1001)
    """
    max_bytes = inf
    max_connections = inf
    if memory_bytes:
        spare_bytes = CALLER_SHARE * (memory_bytes - PROCESS_BYTES)
        max_bytes = max(MIN_CALLER_BYTES, spare_bytes)
        max_connections = CONNECTIONS_SHARE * max_bytes // CONNECTION_BYTES
    if descriptors:
        sockets = max(0, descriptors - FILE_DESCRIPTORS)
        share = max(MIN_CONNECTIONS, int(CALLER_DESCRIPTOR_SHARE * sockets))
        max_connections = min(max_connections, share)
    return CallerBudget(max_bytes, max_connections)

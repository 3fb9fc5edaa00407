"""Allocates loopback ports for processes that are about to start."""

import os
import socket
from itertools import count

HOST = '127.0.0.1'
PORTS = range(15_000, 32_000)
# Processes that start fleets at the same time start at different ports.
_PORTS_PER_PROCESS = 64
_offsets = count(_PORTS_PER_PROCESS * os.getpid())


def free_port():
    """Return a port that no process listens on, a different one on each call.

    ``PORTS`` lies below the ephemeral range: an outgoing connection could take
    an ephemeral port before the process listens on it.
    """
    while True:
        port = PORTS[next(_offsets) % len(PORTS)]
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        return port

"""Ports on loopback for processes that are about to start."""

import os
import socket
from itertools import count

HOST = '127.0.0.1'
PORTS = range(15_000, 32_000)
# Processes that start fleets at the same time begin in different places.
_PORTS_PER_PROCESS = 64
_taken = count(_PORTS_PER_PROCESS * os.getpid())


def free_port():
    """Return a port that nobody listens on and that was not returned before.

    Ports that the system takes for outgoing connections are left out, since a
    caller's connection could take one before its process listens.
    """
    while True:
        port = PORTS[next(_taken) % len(PORTS)]
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        return port

"""Connections on which tests write and read bytes themselves."""

import socket
import time

from figdoor_standins.ports import HOST


def open_request(port, data):
    """Open a connection, send these bytes and return it."""
    caller = socket.create_connection((HOST, port), timeout=20)
    caller.sendall(data)
    return caller


def read_all(caller, pause_s=0, max_bytes=65536):
    """Read until the gateway closes the connection."""
    parts = []
    while part := caller.recv(max_bytes):
        parts.append(part)
        time.sleep(pause_s)
    return b''.join(parts)

"""What the loop does not offer: writes at once, and a gentle end."""

import ctypes
import select
import socket
import struct
from contextlib import suppress
from typing import Any

from twisted.internet.abstract import FileDescriptor

# The number is missing in Python's socket module.
_SO_ATTACH_FILTER = 26
# A classic BPF program over the TCP header: drop segments with SYN and
# without ACK, pass all others. Fields: operation, jumps, operand.
_DROP_SYN = (
    (0x30, 0, 0, 13),  # load the byte with the flags
    (0x54, 0, 0, 0x12),  # keep SYN and ACK
    (0x15, 0, 1, 0x2),  # SYN alone?
    (0x6, 0, 0, 0),  # drop
    (0x6, 0, 0, 0xFFFFFFFF),  # pass
)


def refuse_new_connections(listener: socket.socket) -> None:
    """Let no new connection begin, on systems that can do this.

    Closing a listener resets connections that were made and not accepted,
    with the requests on them. Where no new ones can begin, it is enough to
    accept what is there before the listener closes. Connections whose
    handshake has begun can still complete it.
    """
    program = b''.join(struct.pack('HBBI', *step) for step in _DROP_SYN)
    held = ctypes.create_string_buffer(program)
    described = struct.pack('HP', len(_DROP_SYN), ctypes.addressof(held))
    with suppress(OSError):
        listener.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, described)


def is_readable(transport: Any) -> bool:
    """Tell whether a connection has data, or a listener connections."""
    poller = select.poll()
    poller.register(transport.fileno(), select.POLLIN)
    return bool(poller.poll(0))


def write_now(transport: Any, data: bytes) -> None:
    """Write to a connection, at once where nothing waits before it.

    Twisted's own ``write`` waits for the next turn of the loop, which costs a
    poll and two changes of its set for each message. Whatever cannot be sent
    at once is left to it.
    """
    sent = 0
    if isinstance(transport, FileDescriptor) and _is_drained(transport):
        written = transport.writeSomeData(data)
        # An exception means that the connection is lost; the loop finds out.
        sent = written if isinstance(written, int) else 0
    if sent < len(data):
        transport.write(data[sent:])


def _is_drained(transport: Any) -> bool:
    if transport.dataBuffer or transport.disconnecting:
        return False
    # Twisted has no public way to ask for data that waits for the loop.
    waiting = transport._tempDataBuffer  # noqa: WPS437
    return bool(transport.connected and not waiting)

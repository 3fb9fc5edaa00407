"""Socket operations that Twisted lacks."""

import ctypes
import select
import socket
import struct
from contextlib import suppress
from typing import Any

from twisted.internet.abstract import FileDescriptor

# Python's socket module does not define this constant.
_SO_ATTACH_FILTER = 26
# A classic BPF program on the TCP header that drops segments with SYN but no
# ACK and passes all others. Fields: opcode, jump if true, jump if false,
# operand.
_DROP_SYN = (
    (0x30, 0, 0, 13),  # load the flags byte
    (0x54, 0, 0, 0x12),  # mask all but SYN and ACK
    (0x15, 0, 1, 0x2),  # skip the drop unless only SYN is set
    (0x6, 0, 0, 0),  # drop
    (0x6, 0, 0, 0xFFFFFFFF),  # pass
)


def refuse_new_connections(listener: socket.socket) -> None:
    """Drop SYN segments at a listener, on systems that support it.

    Closing a listener resets the connections in its backlog, with the
    requests on them. Once no new ones arrive, the backlog can be accepted
    before the listener closes. A handshake that has begun can still complete.
    """
    program = b''.join(struct.pack('HBBI', *step) for step in _DROP_SYN)
    instructions = ctypes.create_string_buffer(program)
    # The layout of struct sock_fprog: a length and a pointer.
    sock_fprog = struct.pack(
        'HP',
        len(_DROP_SYN),
        ctypes.addressof(instructions),
    )
    with suppress(OSError):
        listener.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, sock_fprog)


def is_readable(transport: Any) -> bool:
    """Return whether a connection has data or a listener has connections."""
    poller = select.poll()
    poller.register(transport.fileno(), select.POLLIN)
    return bool(poller.poll(0))


def is_closed_by_peer(transport: Any) -> bool:
    """Return whether the peer has closed or reset an open connection.

    Twisted learns of it only by reading, in order, all data before it.
    """
    if not isinstance(transport, FileDescriptor) or transport.disconnected:
        return False
    poller = select.poll()
    # Resets and errors are reported in any case.
    poller.register(transport.fileno(), select.POLLRDHUP)
    return bool(poller.poll(0))


def unsent_bytes(transport: Any) -> int:
    """Return the size of what was written and is not sent yet."""
    if not isinstance(transport, FileDescriptor):
        return 0
    # Twisted has no public access to data that waits for the loop.
    waiting_bytes: int = transport._tempDataLen  # noqa: WPS437
    return len(transport.dataBuffer) + waiting_bytes


def write_now(transport: Any, data: bytes) -> None:
    """Write to a connection, immediately if its buffer is empty.

    Twisted's ``write`` waits for the next iteration of the loop, which costs
    a poll and two changes of the polled set for each message. Data that
    cannot be sent immediately is passed to it.
    """
    sent = 0
    if isinstance(transport, FileDescriptor) and _is_drained(transport):
        written = transport.writeSomeData(data)
        # It returns an exception for a lost connection; the loop handles it.
        sent = written if isinstance(written, int) else 0
    if sent < len(data):
        transport.write(data[sent:])


def _is_drained(transport: Any) -> bool:
    if transport.dataBuffer or transport.disconnecting:
        return False
    # Twisted has no public access to data that waits for the loop.
    pending = transport._tempDataBuffer  # noqa: WPS437
    return bool(transport.connected and not pending)

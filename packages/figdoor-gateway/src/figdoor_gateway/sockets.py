"""Writes that do not wait for the next turn of the loop."""

from typing import Any

from twisted.internet.abstract import FileDescriptor


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

"""Writes lines to standard output without blocking, in bounded memory."""

import os
import select
import sys
import time
from collections import deque

# A pipe that poll reports as writable accepts this much without blocking.
PIPE_BUFFER_BYTES = 4096
# Limit on buffered lines while nobody reads standard output.
MAX_BUFFERED_BYTES = 262_144
# A node gets about 20 requests per second and writes a line for each.
MAX_LINES_PER_S = 400


class LineWriter:
    """Buffers lines until standard output accepts them.

    Lines that exceed the buffer or the limit per second are dropped and
    counted.
    """

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self.dropped_count = 0
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._current_second = 0
        self._lines_in_second = 0

    def add(self, line: str) -> None:
        """Buffer a line, or drop and count it if it exceeds a limit."""
        if self._exceeds_rate():
            self.dropped_count += 1
            return
        encoded = f'{line}\n'.encode()
        if self._buffered_bytes + len(encoded) > MAX_BUFFERED_BYTES:
            self.dropped_count += 1
            return
        self._buffer.append(encoded)
        self._buffered_bytes += len(encoded)

    def flush(self) -> None:
        """Write as much as standard output accepts without blocking."""
        try:
            descriptor = sys.stdout.fileno()
        except (OSError, ValueError, AttributeError):
            # Standard output is closed, or replaced by an object without a
            # file descriptor.
            self._buffer.clear()
            self._buffered_bytes = 0
            return
        poller = select.poll()
        poller.register(descriptor, select.POLLOUT)
        while self._buffer and poller.poll(0):
            if not self._write_chunk(descriptor):
                return

    def _write_chunk(self, descriptor: int) -> bool:
        chunk = bytearray()
        while self._buffer and len(chunk) < PIPE_BUFFER_BYTES:
            chunk += self._buffer.popleft()
        rest = bytes(chunk[PIPE_BUFFER_BYTES:])
        try:
            written = os.write(descriptor, bytes(chunk[:PIPE_BUFFER_BYTES]))
        except OSError:
            # The reader closed the pipe; there is no other place to log it.
            self.dropped_count += 1
            written = min(len(chunk), PIPE_BUFFER_BYTES)
        rest = bytes(chunk[written:PIPE_BUFFER_BYTES]) + rest
        self._buffered_bytes -= written
        if rest:
            self._buffer.appendleft(rest)
        return written > 0

    def _exceeds_rate(self) -> bool:
        second = int(time.monotonic())
        if second != self._current_second:
            self._current_second = second
            self._lines_in_second = 0
        self._lines_in_second += 1
        return self._lines_in_second > MAX_LINES_PER_S

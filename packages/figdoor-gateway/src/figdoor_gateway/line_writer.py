"""Lines to standard output, bounded and without ever waiting."""

import os
import select
import sys
import time
from collections import deque

# A pipe that poll reports as writable takes this much without blocking.
PIPE_BUFFER_BYTES = 4096
# Lines that wait while nobody reads standard output.
MAX_WAITING_BYTES = 262_144
# A node of today takes 20 requests a second and writes a line for each.
MAX_LINES_PER_S = 400


class LineWriter:
    """Keeps lines until standard output takes them.

    What comes faster than it is read, or in too many lines a second, is
    dropped and counted.
    """

    def __init__(self) -> None:
        """Start with nothing to write."""
        self.dropped_count = 0
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._second = 0
        self._lines = 0

    def add(self, line: str) -> None:
        """Take a line, and write what can be written at once."""
        if self._is_too_many():
            self.dropped_count += 1
            return
        encoded = f'{line}\n'.encode()
        if self._waiting_bytes + len(encoded) > MAX_WAITING_BYTES:
            self.dropped_count += 1
            return
        self._waiting.append(encoded)
        self._waiting_bytes += len(encoded)

    def flush(self) -> None:
        """Write as much as standard output takes without waiting."""
        try:
            descriptor = sys.stdout.fileno()
        except (OSError, ValueError, AttributeError):
            # Standard output was closed, or replaced by one without a file.
            self._waiting.clear()
            self._waiting_bytes = 0
            return
        poller = select.poll()
        poller.register(descriptor, select.POLLOUT)
        while self._waiting and poller.poll(0):
            if not self._write_chunk(descriptor):
                return

    def _write_chunk(self, descriptor: int) -> bool:
        chunk = bytearray()
        while self._waiting and len(chunk) < PIPE_BUFFER_BYTES:
            chunk += self._waiting.popleft()
        rest = bytes(chunk[PIPE_BUFFER_BYTES:])
        try:
            written = os.write(descriptor, bytes(chunk[:PIPE_BUFFER_BYTES]))
        except OSError:
            # The reader has gone. There is nowhere left to report it.
            self.dropped_count += 1
            written = min(len(chunk), PIPE_BUFFER_BYTES)
        rest = bytes(chunk[written:PIPE_BUFFER_BYTES]) + rest
        self._waiting_bytes -= written
        if rest:
            self._waiting.appendleft(rest)
        return written > 0

    def _is_too_many(self) -> bool:
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._lines = 0
        self._lines += 1
        return self._lines > MAX_LINES_PER_S

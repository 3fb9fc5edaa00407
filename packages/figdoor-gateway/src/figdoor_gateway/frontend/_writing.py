"""Writing of an upstream's response to the caller."""

from typing import Any

from figdoor_gateway.protocols import Dialect, ResponseHead
from figdoor_gateway.sockets import write_now

_END_OF_LINE = b'\r\n'
_LAST_CHUNK = b'0\r\n\r\n'


class ResponseWriter:
    """Streams head and body, with one write for each ``flush``.

    An HTTP/1.0 caller does not know chunked coding and could not tell a
    truncated body from a complete one. For such a caller a response without a
    length is buffered until it is complete.
    """

    def __init__(
        self,
        transport: Any,
        keep_alive: bool,
        http10: bool,
        head: ResponseHead,
        dialect: Dialect,
    ) -> None:
        """Render the head, which is written with the first ``flush``."""
        self.keep_alive = keep_alive
        self._transport = transport
        self._head = head
        self._dialect = dialect
        self._is_chunked = head.body_length is None
        self._buffer: bytearray | None = None
        self._parts: list[bytes] = []
        if http10 and self._is_chunked:
            self._buffer = bytearray()
        else:
            framing = (
                b'transfer-encoding: chunked' if self._is_chunked else None
            )
            self._parts.append(self._render_head(framing))

    @property
    def buffered_bytes(self) -> int | None:
        """Size of the buffered body, ``None`` if the response is streamed."""
        return None if self._buffer is None else len(self._buffer)

    def write_body(self, data: bytes) -> None:
        """Add a part of the body."""
        if self._buffer is not None:
            self._buffer += data
        elif self._is_chunked:
            self._parts.append(b'%x\r\n%b\r\n' % (len(data), data))
        else:
            self._parts.append(data)

    def flush(self) -> None:
        """Write everything added so far, in one write."""
        if self._parts:
            write_now(self._transport, b''.join(self._parts))
            self._parts.clear()

    def finish(self) -> None:
        """Write the rest and the end of the response."""
        if self._buffer is not None:
            length = b'content-length: %d' % len(self._buffer)
            self._parts = [self._render_head(length), bytes(self._buffer)]
        elif self._is_chunked:
            self._parts.append(_LAST_CHUNK)
        self.flush()

    def _render_head(self, framing: bytes | None) -> bytes:
        head = self._head
        lines = [b'HTTP/1.1 %d %b' % (head.status, head.reason)]
        headers = self._dialect.response_headers(head.headers)
        lines.extend(b'%b: %b' % header for header in headers)
        if framing is not None:
            lines.append(framing)
        if not self.keep_alive:
            lines.append(b'connection: close')
        lines.append(_END_OF_LINE)
        return _END_OF_LINE.join(lines)

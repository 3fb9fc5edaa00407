"""Passes one upstream's answer on to the caller."""

from typing import Any

from figdoor_gateway.protocols import AnswerHead, Dialect
from figdoor_gateway.sockets import write_now

_END_OF_LINE = b'\r\n'
_LAST_CHUNK = b'0\r\n\r\n'


class AnswerWriter:
    """Writes head and body as they come, one write for each ``flush``.

    An HTTP/1.0 caller does not know chunked coding and could not tell a cut
    body from a whole one, so its answer is held until it is complete.
    """

    def __init__(
        self,
        transport: Any,
        keep_alive: bool,
        http10: bool,
        head: AnswerHead,
        dialect: Dialect,
    ) -> None:
        """Take the head; it leaves with the first part of the body."""
        self.keep_alive = keep_alive
        self._transport = transport
        self._head = head
        self._dialect = dialect
        self._chunked = head.body_length is None
        self._held: bytearray | None = None
        self._parts: list[bytes] = []
        if http10 and self._chunked:
            self._held = bytearray()
        else:
            framing = b'transfer-encoding: chunked' if self._chunked else None
            self._parts.append(self._render_head(framing))

    @property
    def held_bytes(self) -> int | None:
        """Size of the body that is held, ``None`` once the head has left."""
        return None if self._held is None else len(self._held)

    def body(self, data: bytes) -> None:
        """Take or hold a part of the body."""
        if self._held is not None:
            self._held += data
        elif self._chunked:
            self._parts.append(b'%x\r\n%b\r\n' % (len(data), data))
        else:
            self._parts.append(data)

    def flush(self) -> None:
        """Write what was taken, in one piece."""
        if self._parts:
            write_now(self._transport, b''.join(self._parts))
            self._parts.clear()

    def finish(self) -> None:
        """Write the rest and what marks the end of the answer."""
        if self._held is not None:
            length = b'content-length: %d' % len(self._held)
            self._parts = [self._render_head(length), bytes(self._held)]
        elif self._chunked:
            self._parts.append(_LAST_CHUNK)
        self.flush()

    def _render_head(self, framing: bytes | None) -> bytes:
        head = self._head
        lines = [b'HTTP/1.1 %d %b' % (head.status, head.reason)]
        passed_on = self._dialect.answer_headers(head.headers)
        lines.extend(b'%b: %b' % pair for pair in passed_on)
        if framing is not None:
            lines.append(framing)
        if not self.keep_alive:
            lines.append(b'connection: close')
        lines.append(_END_OF_LINE)
        return _END_OF_LINE.join(lines)

"""Passes one upstream's answer on to the caller."""

from typing import Any

from figdoor_gateway.headers import INNER_OUTCOME, OUTCOME, REASON
from figdoor_gateway.protocols import AnswerHead
from figdoor_kernel import Outcome

_END_OF_LINE = b'\r\n'
_LAST_CHUNK = b'0\r\n\r\n'


class AnswerWriter:
    """Writes head and body as they come.

    An HTTP/1.0 caller does not know chunked coding and could not tell a cut
    body from a whole one, so its answer is held until it is complete.
    """

    def __init__(
        self,
        transport: Any,
        keep_alive: bool,
        http10: bool,
    ) -> None:
        """Start before the head."""
        self._transport = transport
        self._keep_alive = keep_alive
        self._http10 = http10
        self._held: bytearray | None = None
        self._head: AnswerHead | None = None

    @property
    def has_begun(self) -> bool:
        """Whether the answer can no longer be replaced by another."""
        return self._head is not None

    def head(self, head: AnswerHead, producer: object) -> None:
        """Write the head; the producer is slowed by a slow caller."""
        self._head = head
        if self._http10 and head.body_length is None:
            self._held = bytearray()
            return
        lines = self._head_lines(head)
        if head.body_length is None:
            lines.append(b'transfer-encoding: chunked')
        self._write_lines(lines)
        self._transport.registerProducer(producer, True)

    def body(self, data: bytes) -> None:
        """Write or hold a part of the body."""
        head = self._head
        if head is None:
            return
        if self._held is not None:
            self._held += data
        elif head.body_length is None:
            self._transport.write(b'%x\r\n%b\r\n' % (len(data), data))
        else:
            self._transport.write(data)

    def finish(self) -> None:
        """Write what marks the end of the answer."""
        head = self._head
        if head is None:
            return
        if self._held is not None:
            lines = self._head_lines(head)
            lines.append(b'content-length: %d' % len(self._held))
            self._write_lines(lines)
            self._transport.write(bytes(self._held))
            return
        if head.body_length is None:
            self._transport.write(_LAST_CHUNK)
        self._transport.unregisterProducer()

    def _head_lines(self, head: AnswerHead) -> list[bytes]:
        lines = [b'HTTP/1.1 %d %b' % (head.status, head.reason)]
        for name, text in head.headers:
            if name == OUTCOME:
                # It tells of a deeper level; ours is told below.
                lines.append(b'%b: %b' % (INNER_OUTCOME, text))
            elif name != REASON:
                lines.append(b'%b: %b' % (name, text))
        lines.append(b'%b: %b' % (OUTCOME, Outcome.ANSWERED.value.encode()))
        if not self._keep_alive:
            lines.append(b'connection: close')
        return lines

    def _write_lines(self, lines: list[bytes]) -> None:
        lines.append(_END_OF_LINE)
        self._transport.write(_END_OF_LINE.join(lines))

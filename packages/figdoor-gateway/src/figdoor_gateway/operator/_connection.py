"""Connections of the operator port."""

import re
from collections.abc import Callable, Mapping
from http import HTTPStatus
from typing import Any

from twisted.internet.protocol import Protocol, connectionDone
from twisted.protocols.policies import TimeoutMixin
from twisted.python.failure import Failure

from figdoor_gateway.operator._health import Answer, NodeHealth

# The same as in Twisted's HTTP server.
IDLE_TIMEOUT_S = 60
MAX_HEAD_BYTES = 16384
_HEAD_END = b'\r\n\r\n'
_REQUEST_LINE = re.compile(rb'GET (/\w+) HTTP/1\.1(?=\r\n|$)')
# Headers that say that a body or another protocol follows.
_SPECIAL_HEADER = re.compile(
    rb'\r\n(content-length|transfer-encoding|expect|upgrade)[ \t]*:',
    re.IGNORECASE,
)
_CLOSE_HEADER = re.compile(
    rb'\r\nconnection[ \t]*:[ \t]*close[ \t]*(?=\r\n|$)',
    re.IGNORECASE,
)

PassOn = Callable[['OperatorConnection'], Protocol]


class OperatorConnection(TimeoutMixin, Protocol):
    """Answers questions about health and passes all else on to a web site.

    The platform asks every node for its readiness all the time. Twisted's web
    server, which only operators need, would take a sixth of a node's memory.
    A connection with any other request, or with a header that needs more than
    a plain response, belongs to the web site from then on.
    """

    def __init__(self, health: NodeHealth, pass_on: PassOn) -> None:
        """``pass_on`` returns the site's protocol for a connection."""
        self._answers: Mapping[bytes, Callable[[], Answer]] = {
            b'/healthz': health.health,
            b'/readyz': health.readiness,
        }
        self._pass_on = pass_on
        self._site: Protocol | None = None
        self._received = b''

    def connectionMade(self) -> None:  # noqa: N802
        """Close the connection if nothing arrives."""
        self.setTimeout(IDLE_TIMEOUT_S)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Answer all complete requests, or pass the bytes on."""
        if self._site is not None:
            self._site.dataReceived(data)
            return
        self.resetTimeout()
        self._received += data
        while self._site is None and _HEAD_END in self._received:
            self._answer_next()
        if self._site is None and len(self._received) > MAX_HEAD_BYTES:
            self._leave_to_site()

    def connectionLost(  # noqa: N802
        self,
        reason: Failure = connectionDone,
    ) -> None:
        """Forward the end of the connection."""
        self.setTimeout(None)
        if self._site is not None:
            self._site.connectionLost(reason)

    def _answer_next(self) -> None:
        head, _, rest = self._received.partition(_HEAD_END)
        line = _REQUEST_LINE.match(head)
        answer = self._answers.get(line.group(1)) if line else None
        if answer is None or _SPECIAL_HEADER.search(head):
            self._leave_to_site()
            return
        self._received = rest
        transport: Any = self.transport
        if _CLOSE_HEADER.search(head):
            transport.write(_render(answer(), 'Connection: close\r\n'))
            transport.loseConnection()
            self._received = b''
        else:
            transport.write(_render(answer()))

    def _leave_to_site(self) -> None:
        self.setTimeout(None)
        self._site = self._pass_on(self)
        self._site.makeConnection(self.transport)
        received = self._received
        self._received = b''
        self._site.dataReceived(received)


def _render(answer: Answer, header_lines: str = '') -> bytes:
    status = HTTPStatus(answer.status)
    head = (
        f'HTTP/1.1 {status.value} {status.phrase}\r\n'
        'Content-Type: text/plain; charset=utf-8\r\n'
        f'{header_lines}'
        f'Content-Length: {len(answer.body)}\r\n\r\n'
    )
    return head.encode() + answer.body

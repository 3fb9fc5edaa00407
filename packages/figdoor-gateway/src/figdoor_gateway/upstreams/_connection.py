"""One connection to an upstream, which carries one request at a time."""

from collections.abc import Callable
from typing import Any

import httptools
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from figdoor_gateway.headers import (
    INNER_OUTCOME,
    LOAD,
    OUTCOME,
    SHED,
    end_to_end,
    read_load_report,
)
from figdoor_gateway.protocols import (
    AnswerHead,
    AnswerReceiver,
    OutboundRequest,
)

_LAST_CHUNK = b'0\r\n\r\n'
_BODILESS_STATUSES = frozenset((204, 304))
_SWITCHING_PROTOCOLS = 101
_FIRST_FINAL_STATUS = 200
_SHED_STATUS = 503


class UpstreamConnection(Protocol):
    """Writes a request, parses its answer, and is then free again.

    ``on_free`` is called when the connection can carry another request,
    before the receiver hears of the end, and ``on_closed`` when it closed,
    after the receiver has heard.
    """

    def __init__(
        self,
        on_free: Callable[['UpstreamConnection'], None],
        on_closed: Callable[['UpstreamConnection'], None],
        max_header_bytes: float,
    ) -> None:
        """Start without a request."""
        self.transport: Any = None
        self.is_open = False
        self._on_free = on_free
        self._on_closed = on_closed
        self._max_header_bytes = max_header_bytes
        self._receiver: AnswerReceiver | None = None
        self._parser: Any = None
        self._answer = _Answer()
        self._body_open = False
        self._chunked = False

    def connectionMade(self) -> None:  # noqa: N802
        """Send small writes at once."""
        self.is_open = True
        self.transport.setTcpNoDelay(True)

    def send(
        self,
        request: OutboundRequest,
        receiver: AnswerReceiver,
    ) -> None:
        """Write the request; the receiver hears everything that follows."""
        self._receiver = receiver
        self._parser = httptools.HttpResponseParser(self)
        self._answer = _Answer(is_head=request.method == b'HEAD')
        self._chunked = request.body_length is None
        self._body_open = not request.body_complete
        self.transport.write(_render(request))
        if request.body:
            self.send_body(request.body)
        if request.body_complete and self._chunked:
            self.transport.write(_LAST_CHUNK)

    def send_body(self, data: bytes) -> None:
        """Write a part of the request's body."""
        if self._chunked:
            self.transport.write(b'%x\r\n%b\r\n' % (len(data), data))
        else:
            self.transport.write(data)

    def finish_body(self) -> None:
        """End the request's body."""
        self._body_open = False
        if self._chunked:
            self.transport.write(_LAST_CHUNK)

    def cancel(self) -> None:
        """Close, since a late answer must never meet another request."""
        self._receiver = None
        self.transport.abortConnection()

    def close(self) -> None:
        """Close an idle connection."""
        self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse; anything outside an answer closes the connection."""
        if self._receiver is None:
            self.transport.abortConnection()
            return
        if not self._answer.head_seen:
            self._answer.head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
            _BadAnswerError,
        ):
            self._fail()
            return
        if self._answer.head_bytes > self._max_header_bytes:
            if not self._answer.head_seen:
                self._fail()
                return
        if self._answer.is_over:
            self._finish()

    def connectionLost(  # noqa: N802
        self,
        reason: Failure = connectionDone,
    ) -> None:
        """Report a request that was cut."""
        self.is_open = False
        receiver = self._receiver
        self._receiver = None
        if receiver is not None:
            receiver.lost(connection_died=True)
        self._on_closed(self)

    def on_message_begin(self) -> None:
        """Refuse a second answer to one request."""
        if self._answer.is_over:
            raise _BadAnswerError

    def on_status(self, reason: bytes) -> None:
        """Collect the reason phrase."""
        self._answer.reason += reason

    def on_header(self, name: bytes, text: bytes) -> None:
        """Collect a header."""
        self._answer.headers.append((name.lower(), text))

    def on_headers_complete(self) -> None:
        """Pass the head on, but for interim answers."""
        answer = self._answer
        answer.status = self._parser.get_status_code()
        if answer.status == _SWITCHING_PROTOCOLS:
            raise _BadAnswerError
        if answer.status < _FIRST_FINAL_STATUS:
            return
        head = answer.make_head()
        answer.head_seen = True
        if self._receiver is not None:
            self._receiver.head(head)
        if answer.is_head:
            answer.is_over = True

    def on_body(self, data: bytes) -> None:
        """Pass a part of the body on."""
        if self._answer.is_over:
            raise _BadAnswerError
        if self._receiver is not None:
            self._receiver.body(data)

    def on_message_complete(self) -> None:
        """Note the end, or start over after an interim answer."""
        if not self._answer.head_seen:
            self._answer = _Answer(is_head=self._answer.is_head)
            return
        self._answer.is_over = True

    def _finish(self) -> None:
        receiver = self._receiver
        self._receiver = None
        reusable = not self._body_open and self._answer.keeps_open(
            self._parser.should_keep_alive(),
        )
        if reusable:
            self._on_free(self)
        else:
            self.transport.loseConnection()
        if receiver is not None:
            receiver.complete()

    def _fail(self) -> None:
        receiver = self._receiver
        self._receiver = None
        self.transport.abortConnection()
        if receiver is not None:
            receiver.lost(connection_died=False)


class _BadAnswerError(Exception):
    """The upstream's answer breaks the agreement."""


class _Answer:
    """What has been parsed of one answer."""

    def __init__(self, is_head: bool = False) -> None:
        self.is_head = is_head
        self.status = 0
        self.reason = b''
        self.headers: list[tuple[bytes, bytes]] = []
        self.head_bytes = 0
        self.head_seen = False
        self.is_over = False

    def make_head(self) -> AnswerHead:
        named = dict(self.headers)
        chunked = b'transfer-encoding' in named
        length = self._length(named, chunked)
        report = named.get(LOAD)
        return AnswerHead(
            self.status,
            self.reason,
            [pair for pair in end_to_end(self.headers) if pair[0] != LOAD],
            length,
            self.status == _SHED_STATUS and named.get(SHED) == b'1',
            OUTCOME in named or INNER_OUTCOME in named,
            read_load_report(report) if report else None,
        )

    def keeps_open(self, parser_says: bool) -> bool:
        """Tell whether another request may follow on this connection."""
        if not self.is_head:
            return parser_says
        named = dict(self.headers)
        return b'close' not in named.get(b'connection', b'').lower()

    def _length(
        self,
        named: dict[bytes, bytes],
        chunked: bool,
    ) -> int | None:
        if self.is_head or self.status in _BODILESS_STATUSES:
            return 0
        if chunked:
            return None
        length = named.get(b'content-length')
        if length is None:
            # The end of such a body cannot be told from a cut.
            raise _BadAnswerError
        return int(length)


def _render(request: OutboundRequest) -> bytes:
    lines = [b'%b %b HTTP/1.1' % (request.method, request.target)]
    lines.extend(b'%b: %b' % pair for pair in request.headers)
    if request.body_length is None:
        lines.append(b'transfer-encoding: chunked')
    elif request.body_length or request.method not in {b'GET', b'HEAD'}:
        lines.append(b'content-length: %d' % request.body_length)
    lines.append(b'\r\n')
    return b'\r\n'.join(lines)

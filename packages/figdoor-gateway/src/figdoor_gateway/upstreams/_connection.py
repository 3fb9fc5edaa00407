"""One connection to an upstream, which carries one request at a time."""

from collections.abc import Callable
from typing import Any

import httptools
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from figdoor_gateway.protocols import (
    AnswerReceiver,
    Dialect,
    OutboundRequest,
)
from figdoor_gateway.sockets import write_now
from figdoor_gateway.upstreams._answer import Answer, BadAnswerError
from figdoor_gateway.upstreams._rendering import (
    LAST_CHUNK,
    BodyProducer,
    render_chunk,
    render_request,
)

# Twisted reads 64 KB at a time, so an answer with a body of 64 KB took a
# second turn of the loop and a second write for the size of its head.
READ_BYTES = 80 * 1024
_SWITCHING_PROTOCOLS = 101
_FIRST_FINAL_STATUS = 200


class UpstreamConnection(Protocol):
    """Writes a request, parses its answer, and is then free again.

    ``on_free`` is called when the connection can carry another request,
    before the receiver hears of the end, and ``on_closed`` when it closed,
    after the receiver has heard. A connection is usable until it closes or
    anything out of order was seen on it; it never becomes usable again.
    """

    def __init__(
        self,
        on_free: Callable[['UpstreamConnection'], None],
        on_closed: Callable[['UpstreamConnection'], None],
        max_header_bytes: float,
        dialect: Dialect,
    ) -> None:
        """Start without a request."""
        self.transport: Any = None
        self.idle_since_ms: float = 0
        self._dialect = dialect
        self.is_usable = False
        self._on_free = on_free
        self._on_closed = on_closed
        self._max_header_bytes = max_header_bytes
        self._receiver: AnswerReceiver | None = None
        self._parser: Any = None
        self._answer = Answer(False, max_header_bytes, dialect)
        self._body_open = False
        self._chunked = False
        self._paused = False
        self._unread_bytes = 0

    def connectionMade(self) -> None:  # noqa: N802
        """Send small writes at once, and read large answers at once."""
        self.is_usable = True
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = READ_BYTES

    def send(
        self,
        request: OutboundRequest,
        receiver: AnswerReceiver,
    ) -> None:
        """Write the request; the receiver hears everything that follows."""
        self._receiver = receiver
        self._parser = httptools.HttpResponseParser(self)
        self._answer = Answer(
            request.method == b'HEAD',
            self._max_header_bytes,
            self._dialect,
            request.headers,
        )
        self._chunked = request.body_length is None
        self._body_open = not request.body_complete
        self._unread_bytes = 0
        producer = None
        if self._body_open and request.body_source is not None:
            producer = BodyProducer(request.body_source)
            self.transport.registerProducer(producer, True)
        write_now(self.transport, render_request(request))
        if producer is not None:
            producer.begin()

    def carries(self, receiver: AnswerReceiver) -> bool:
        """Tell whether this receiver's request is still in progress."""
        return self._receiver is receiver

    def send_body(self, data: bytes) -> None:
        """Write a part of the request's body."""
        if self._body_open:
            self._write_body(data)

    def finish_body(self) -> None:
        """End the request's body."""
        if self._body_open:
            self._body_open = False
            if self._chunked:
                write_now(self.transport, LAST_CHUNK)
            self.transport.unregisterProducer()

    def pause(self) -> None:
        """Stop reading the answer."""
        self._paused = True
        self.transport.pauseProducing()

    def resume(self) -> None:
        """Go on reading the answer."""
        if self._paused:
            self._paused = False
            self.transport.resumeProducing()

    def abort(self) -> None:
        """Close at once, since a late answer must never meet a request."""
        self.is_usable = False
        self._receiver = None
        self._body_open = False
        self.transport.abortConnection()

    def close(self) -> None:
        """Close an idle connection."""
        self.is_usable = False
        self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse; anything outside an answer closes the connection."""
        if self._receiver is None:
            self.abort()
            return
        intact = True
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            intact = False
        if self._receiver is None:
            # The receiver cancelled while it heard the answer.
            return
        if self._answer.is_over:
            self._finish(intact)
        elif intact and self._head_fits(len(data)):
            self._receiver.flush()
        else:
            self._fail()

    def connectionLost(  # noqa: N802
        self,
        reason: Failure = connectionDone,
    ) -> None:
        """Report a request that was cut."""
        self.is_usable = False
        self._body_open = False
        receiver = self._receiver
        self._receiver = None
        is_clean = bool(reason.check(ConnectionDone))
        if receiver is not None and is_clean and self._answer.ends_by_close:
            receiver.complete()
        elif receiver is not None:
            receiver.lost(connection_died=True)
        self._on_closed(self)

    def on_message_begin(self) -> None:
        """Refuse a second answer to one request."""
        if self._answer.is_over:
            raise BadAnswerError

    def on_status(self, reason: bytes) -> None:
        """Collect the reason phrase."""
        self._answer.reason += reason

    def on_header(self, name: bytes, text: bytes) -> None:
        """Collect a header."""
        self._answer.add_header(name, text)

    def on_headers_complete(self) -> None:
        """Pass the head on, but for interim answers."""
        answer = self._answer
        answer.status = self._parser.get_status_code()
        if answer.status == _SWITCHING_PROTOCOLS:
            raise BadAnswerError
        if answer.status < _FIRST_FINAL_STATUS:
            return
        head = answer.make_head()
        answer.head_seen = True
        # The parser forgets it at the end of the message.
        answer.keeps_open = self._parser.should_keep_alive()
        if answer.is_stray:
            return
        if self._receiver is not None:
            self._receiver.head(head)
        if answer.is_head:
            answer.is_over = True

    def on_body(self, data: bytes) -> None:
        """Pass a part of the body on."""
        if self._answer.is_stray:
            return
        if self._answer.is_over or not self._answer.head_seen:
            raise BadAnswerError
        if self._receiver is not None:
            self._receiver.body(data)

    def on_message_complete(self) -> None:
        """Note the end, or start over after an interim or stray answer."""
        if self._answer.head_seen and not self._answer.is_stray:
            self._answer.is_over = True
        else:
            self._answer = self._answer.next_answer()

    def _head_fits(self, more_bytes: int) -> bool:
        """Count what came before the head; the parser holds it until then."""
        if self._answer.head_seen:
            return True
        self._unread_bytes += more_bytes
        return self._unread_bytes <= self._max_header_bytes

    def _write_body(self, data: bytes) -> None:
        write_now(
            self.transport,
            render_chunk(data) if self._chunked else data,
        )

    def _finish(self, intact: bool) -> None:
        """Report a whole answer; rubbish after it only costs the connection.

        So does an answer that came before the whole request was sent.
        """
        receiver = self._receiver
        self._receiver = None
        self.resume()
        if intact and self._answer.keeps_open and not self._body_open:
            self._on_free(self)
        else:
            self.abort()
        if receiver is not None:
            receiver.complete()

    def _fail(self) -> None:
        receiver = self._receiver
        self.abort()
        if receiver is not None:
            receiver.lost(connection_died=False)

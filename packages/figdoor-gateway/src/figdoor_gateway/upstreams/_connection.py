"""Connection to an upstream, which carries one request at a time."""

from collections.abc import Callable
from typing import Any

import httptools
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from figdoor_gateway.connecting import ClientConnection
from figdoor_gateway.framing import FramingLimit
from figdoor_gateway.protocols import (
    Dialect,
    OutboundRequest,
    ResponseReceiver,
)
from figdoor_gateway.sockets import write_now
from figdoor_gateway.upstreams._rendering import (
    LAST_CHUNK,
    BodyProducer,
    render_chunk,
    render_request,
)
from figdoor_gateway.upstreams._response import (
    InvalidResponseError,
    ParsedResponse,
)

# By default Twisted reads 64 KB at a time. A response with a body of 64 KB
# then needs a second iteration of the loop and a second write, because of the
# size of its head.
READ_BUFFER_BYTES = 80 * 1024
# A read of that size may hold 13,000 chunks of a byte, which take 5 ms. If three
# upstreams send such bodies, probes of the others exceed their 50 ms. A response
# with more chunks in one read is read in small parts from then on.
MAX_CHUNKS_PER_READ = 500
SMALL_READ_BYTES = 4096


class UpstreamConnection(ClientConnection):
    """Writes a request, parses the response, and can then be reused.

    ``on_free`` is called when the connection can carry another request, before
    the receiver's ``on_complete``. ``on_closed`` is called when it has closed,
    after the receiver's last callback. ``on_error`` is called with an
    unexpected error in the processing of a response, which is then lost. A connection is usable until it closes
    or a protocol error occurs, and never becomes usable again.
    """

    def __init__(
        self,
        on_free: Callable[['UpstreamConnection'], None],
        on_closed: Callable[['UpstreamConnection'], None],
        max_header_bytes: float,
        dialect: Dialect,
        on_error: Callable[[Exception], None],
    ) -> None:
        """Start without a request."""
        self._on_error = on_error
        self.transport: Any = None
        self.idle_since_ms: float = 0
        self._dialect = dialect
        self.is_usable = False
        self._on_free = on_free
        self._on_closed = on_closed
        self._max_header_bytes = max_header_bytes
        self._receiver: ResponseReceiver | None = None
        self._parser: Any = None
        self._response = ParsedResponse(False, max_header_bytes, dialect)
        self._is_sending_body = False
        self._is_chunked = False
        self._is_paused = False
        self._framing_limit = FramingLimit(max_header_bytes)
        self._chunk_count = 0

    def connectionMade(self) -> None:  # noqa: N802
        """Disable Nagle's algorithm and enlarge the read buffer."""
        self.is_usable = True
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = READ_BUFFER_BYTES
        super().connectionMade()

    def send(
        self,
        request: OutboundRequest,
        receiver: ResponseReceiver,
    ) -> None:
        """Write the request, and report its response to the receiver."""
        self._receiver = receiver
        self._parser = httptools.HttpResponseParser(self)
        self._response = ParsedResponse(
            request.method == b'HEAD',
            self._max_header_bytes,
            self._dialect,
            request.headers,
        )
        self._is_chunked = request.body_length is None
        self._is_sending_body = not request.body_complete
        self._framing_limit.reset()
        self.transport.bufferSize = READ_BUFFER_BYTES
        producer = None
        if self._is_sending_body and request.body_source is not None:
            producer = BodyProducer(request.body_source)
            self.transport.registerProducer(producer, True)
        write_now(self.transport, render_request(request))
        if producer is not None:
            producer.begin()

    def is_serving(self, receiver: ResponseReceiver) -> bool:
        """Return whether this receiver's request is still in progress."""
        return self._receiver is receiver

    def send_body(self, data: bytes) -> None:
        """Write a part of the request body."""
        if self._is_sending_body:
            self._write_body(data)

    def finish_body(self) -> None:
        """End the request body."""
        if self._is_sending_body:
            self._is_sending_body = False
            if self._is_chunked:
                write_now(self.transport, LAST_CHUNK)
            self.transport.unregisterProducer()

    def pause(self) -> None:
        """Stop reading the response."""
        self._is_paused = True
        self.transport.pauseProducing()

    def resume(self) -> None:
        """Continue reading the response."""
        if self._is_paused:
            self._is_paused = False
            self.transport.resumeProducing()

    def abort(self) -> None:
        """Reset the connection, so that no request gets a late response."""
        self.is_usable = False
        self._receiver = None
        self._is_sending_body = False
        self.transport.abortConnection()

    def close(self) -> None:
        """Close an idle connection."""
        self.is_usable = False
        self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse data; any data outside a response closes the connection."""
        if self._receiver is None:
            self.abort()
            return
        is_valid = True
        self._chunk_count = 0
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            is_valid = False
        if self._chunk_count > MAX_CHUNKS_PER_READ:
            self.transport.bufferSize = SMALL_READ_BYTES
        if self._receiver is None:
            # The receiver cancelled the request in one of its callbacks.
            return
        if self._response.is_complete:
            self._complete(is_valid)
        elif is_valid and self._framing_limit.fits(len(data)):
            self._receiver.flush()
        else:
            self._fail()

    def connectionLost(  # noqa: N802
        self,
        reason: Failure = connectionDone,
    ) -> None:
        """Report a request that is in progress as lost, or as complete.

        It is complete if the close of the connection ends the response.
        """
        self.is_usable = False
        self._is_sending_body = False
        receiver = self._receiver
        self._receiver = None
        is_clean = bool(reason.check(ConnectionDone))
        if receiver is not None and is_clean and self._response.ends_on_close:
            receiver.on_complete()
        elif receiver is not None:
            receiver.on_lost(connection_died=True)
        self._on_closed(self)

    def on_message_begin(self) -> None:
        """Reject a second response to one request."""
        if self._response.is_complete:
            raise InvalidResponseError

    def on_status(self, reason: bytes) -> None:
        """Collect the reason phrase."""
        self._response.add_reason(reason)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._response.add_header(name, value)

    def on_headers_complete(self) -> None:
        """Forward the head, unless the response is interim or stray."""
        response = self._response
        response.status = self._parser.get_status_code()
        if response.is_interim():
            return
        try:
            head = response.make_head()
        except InvalidResponseError:
            raise
        except Exception as error:
            # Reported here, since the parser hides errors of its callbacks.
            self._on_error(error)
            raise InvalidResponseError from error
        response.has_head = True
        # Read here, since the parser forgets it at the end of the message.
        response.keeps_alive = self._parser.should_keep_alive()
        if response.is_stray:
            return
        if self._receiver is not None:
            self._receiver.on_head(head)
        if response.is_head:
            response.is_complete = True

    def on_body(self, data: bytes) -> None:
        """Forward a part of the body."""
        self._framing_limit.note_body()
        self._chunk_count += 1
        if self._response.is_stray:
            return
        if self._response.is_complete or not self._response.has_head:
            raise InvalidResponseError
        if self._receiver is not None:
            self._receiver.on_body(data)

    def on_message_complete(self) -> None:
        """Record the end, or start over after an interim or stray response."""
        if self._response.has_head and not self._response.is_stray:
            self._response.is_complete = True
        else:
            self._response = self._response.next_response()

    def _write_body(self, data: bytes) -> None:
        write_now(
            self.transport,
            render_chunk(data) if self._is_chunked else data,
        )

    def _complete(self, is_valid: bool) -> None:
        """Report a complete response, and free or reset the connection.

        The connection is reset if more data follows the response, or if the
        response arrived before the whole request was sent.
        """
        receiver = self._receiver
        self._receiver = None
        self.resume()
        if (
            is_valid
            and self._response.keeps_alive
            and not self._is_sending_body
        ):
            self._on_free(self)
        else:
            self.abort()
        if receiver is not None:
            receiver.on_complete()

    def _fail(self) -> None:
        receiver = self._receiver
        self.abort()
        if receiver is not None:
            receiver.on_lost(connection_died=False)

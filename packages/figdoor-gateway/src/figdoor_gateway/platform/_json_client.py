"""A small HTTP client that reads JSON values without ETags.

Every node of a store deployment reads the store when it starts. treq and
Twisted's web client, which ``PlatformClient`` uses, would take 5 MB of the
memory of each node and a fifth of its start-up time.
"""

import json
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any
from urllib.parse import urlencode, urlsplit

import httptools
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from figdoor_gateway.connecting import ClientConnection, open_connection
from figdoor_gateway.framing import FramingLimit
from figdoor_gateway.loop import (
    MS_PER_SECOND,
    Timer,
    call_later,
    cancel,
    reactor,
)
from figdoor_gateway.platform._client import (
    CONNECT_TIMEOUT_MS,
    STALL_TIMEOUT_MS,
    Headers,
    PlatformError,
    ResponseLimits,
    ResponseTooLongError,
)

# The longest head, trailer or chunk extension.
MAX_FRAMING_BYTES = 16_384
# Lower ones are invalid, not interim (RFC 9110, section 15).
_FIRST_STATUS = 100
_OK = 200
_HTTP_PORT = 80
_DEFAULT_LIMITS = ResponseLimits()


@dataclass(frozen=True, slots=True)
class JsonResponse:
    """A decoded value, and the headers that came with it."""

    content: Any
    headers: Headers


class JsonClient:
    """Reads JSON values; every error ends the ``Deferred`` with a failure.

    A connection is kept for the next read. No read is repeated, since the
    limit on reads of the platform would not count the second one.
    """

    def __init__(self, base_url: str) -> None:
        """Connect on the first read."""
        parts = urlsplit(base_url)
        self._address = (parts.hostname or '', parts.port or _HTTP_PORT)
        self._host = parts.netloc
        self._idle: JsonConnection | None = None

    def get(
        self,
        path: str,
        timeout_ms: float,
        limits: ResponseLimits = _DEFAULT_LIMITS,
        **query: str,
    ) -> Deferred[JsonResponse]:
        """Return the decoded value and the headers.

        The timeout covers the complete response, unless the limits give its
        body a time of its own.
        """
        target = f'{path}?{urlencode(query)}' if query else path
        reading = Deferred.fromCoroutine(
            self._get(path, target, timeout_ms, limits)
        )
        total_ms = timeout_ms + limits.transfer_ms
        return reading.addTimeout(total_ms / MS_PER_SECOND, reactor)

    async def _get(
        self,
        path: str,
        target: str,
        timeout_ms: float,
        limits: ResponseLimits,
    ) -> JsonResponse:
        connection = self._idle
        self._idle = None
        if connection is None:
            connection = await self._connect()
        status = await connection.get(target, self._host, timeout_ms, limits)
        body = connection.take_body()
        headers = connection.headers
        self._keep(connection)
        if status != _OK:
            message = f'GET {path} returned status {status}'
            raise PlatformError(message, status, headers)
        return JsonResponse(json.loads(body), headers)

    def _connect(self) -> 'Deferred[JsonConnection]':
        connection = JsonConnection(self._on_closed)
        return open_connection(self._address, CONNECT_TIMEOUT_MS, connection)

    def _keep(self, connection: 'JsonConnection') -> None:
        if connection.is_reusable and self._idle is None:
            self._idle = connection
        else:
            connection.close()

    def _on_closed(self, connection: 'JsonConnection') -> None:
        if self._idle is connection:
            self._idle = None


class JsonConnection(ClientConnection):
    """A connection that carries one request at a time."""

    def __init__(self, on_closed: Callable[['JsonConnection'], None]) -> None:
        """Start without a request; ``on_closed`` is called at the end."""
        self.transport: Any = None
        self.is_reusable = False
        self.headers: defaultdict[str, list[str]] = defaultdict(list)
        self._on_closed = on_closed
        self._parser: Any = None
        self._answered: Deferred[int] | None = None
        self._body = bytearray()
        self._status = 0
        self._is_complete = False
        self._is_framed = False
        self._stated_bytes = 0
        self._limits = _DEFAULT_LIMITS
        self._framing_limit = FramingLimit(MAX_FRAMING_BYTES)
        self._timer: Timer | None = None

    def get(
        self,
        target: str,
        host: str,
        head_timeout_ms: float = 0,
        limits: ResponseLimits = _DEFAULT_LIMITS,
    ) -> Deferred[int]:
        """Send a request; return the status once its response is complete.

        If the limits give the body a time of its own, the head has to arrive
        within ``head_timeout_ms``.
        """
        self._limits = limits
        self._restart_timer(head_timeout_ms)
        self._parser = httptools.HttpResponseParser(self)
        self.headers = defaultdict(list)
        self._status = 0
        self._is_complete = False
        self._is_framed = False
        self._stated_bytes = 0
        self._framing_limit.reset()
        self.is_reusable = False
        self._answered = Deferred(self._abort)
        head = f'GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n'
        self.transport.write(head.encode())
        return self._answered

    def take_body(self) -> str:
        """Return the body of the last response, without keeping a copy."""
        body = self._body
        self._body = bytearray()
        return body.decode()

    def close(self) -> None:
        """Close the connection."""
        self.transport.loseConnection()

    def connectionMade(self) -> None:  # noqa: N802
        """Report the open connection."""
        self.transport.setTcpNoDelay(True)
        super().connectionMade()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse data; any data outside a response closes the connection."""
        if self._answered is None:
            self._abort()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail('sent an invalid response')
            return
        received_bytes = len(self._body)
        if max(received_bytes, self._stated_bytes) > self._limits.max_bytes:
            self._fail_too_long()
        elif self._is_complete:
            self._finish()
        elif not self._framing_limit.fits(len(data)):
            self._fail('sent too much that is no body')
        elif self._status:
            self._restart_timer(STALL_TIMEOUT_MS)

    def connectionLost(  # noqa: N802
        self,
        reason: Failure = connectionDone,
    ) -> None:
        """End the response, which is complete if the close was its end."""
        self.is_reusable = False
        self._on_closed(self)
        if self._answered is None:
            return
        is_whole = self._status and not self._is_framed
        if is_whole and reason.check(ConnectionDone):
            self._finish()
        else:
            self._fail('closed the connection')

    def on_message_begin(self) -> None:
        """Reject a second response to one request."""
        if self._is_complete:
            raise PlatformError('the platform sent two responses')

    def on_header(self, name: bytes, text: bytes) -> None:
        """Keep a header; note the length of the body, if it is known."""
        lower_name = name.lower()
        self.headers[lower_name.decode('latin-1')].append(
            text.decode('latin-1')
        )
        if lower_name in {b'content-length', b'transfer-encoding'}:
            self._is_framed = True
        if lower_name == b'content-length' and text.isdigit():
            # A parser that accepts the length has checked its range.
            self._stated_bytes = int(text)

    def on_headers_complete(self) -> None:
        """Note the status, unless the response is interim."""
        status = self._parser.get_status_code()
        if status < _FIRST_STATUS:
            raise PlatformError(f'the platform sent the status {status}')
        if status >= _OK:
            self._status = status
            # Read here, since the parser forgets it at the end of the message.
            self.is_reusable = self._parser.should_keep_alive()

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body."""
        self._framing_limit.note_body()
        self._body += data

    def on_message_complete(self) -> None:
        """Note the end, unless the response is interim."""
        self._is_complete = bool(self._status)

    def _restart_timer(self, timeout_ms: float) -> None:
        cancel(self._timer)
        if self._limits.transfer_ms:
            reason = f'sent nothing for {timeout_ms:.0f} ms'
            self._timer = call_later(timeout_ms, partial(self._fail, reason))

    def _fail_too_long(self) -> None:
        answered = self._answered
        self._abort()
        if answered is not None:
            message = f'the response exceeds {self._limits.max_bytes} bytes'
            answered.errback(ResponseTooLongError(message))

    def _finish(self) -> None:
        cancel(self._timer)
        answered = self._answered
        self._answered = None
        if answered is not None:
            answered.callback(self._status)

    def _fail(self, reason: str) -> None:
        answered = self._answered
        self._abort()
        if answered is not None:
            answered.errback(PlatformError(f'the platform {reason}'))

    def _abort(self, _: object = None) -> None:
        cancel(self._timer)
        self._answered = None
        self.is_reusable = False
        self._body.clear()
        self.transport.abortConnection()

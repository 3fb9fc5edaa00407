"""Turns bytes from a caller into requests, and refuses malformed ones."""

from collections.abc import Callable
from typing import Any

import httptools

from figdoor_gateway.frontend._request import CallerRequest

MAX_HEADERS = 128
_MAX_LENGTH_DIGITS = 15


class BadRequestError(Exception):
    """A request cannot be taken; carries status and reason phrase."""

    def __init__(self, status: int, phrase: bytes) -> None:
        """Keep what the caller is told."""
        super().__init__(status, phrase)
        self.status = status
        self.phrase = phrase


class RequestParser:
    """Feeds a parser and hands on each request when its head is complete."""

    def __init__(
        self,
        on_head: Callable[[CallerRequest], None],
        on_body: Callable[[CallerRequest, bytes], None],
        on_end: Callable[[CallerRequest], None],
        max_header_bytes: float,
    ) -> None:
        """Start before the first request."""
        self._on_head = on_head
        self._on_body = on_body
        self._on_end = on_end
        self._max_header_bytes = max_header_bytes
        self._head_bytes = 0
        self._in_head = True
        self._error: BadRequestError | None = None
        self._request = CallerRequest()
        self._parser: Any = httptools.HttpRequestParser(self)

    @property
    def in_head(self) -> bool:
        """Whether the head of a request has begun and is not complete."""
        return self._in_head and self._head_bytes > 0

    def feed(self, data: bytes) -> None:
        """Parse; raises ``BadRequestError`` for what cannot be taken."""
        if self._in_head:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise BadRequestError(400, b'Bad Request') from error
        except httptools.HttpParserError as error:
            raise self._error or BadRequestError(
                400,
                b'Bad Request',
            ) from error
        if self._in_head and self._head_bytes > self._max_header_bytes:
            raise _too_large_head()

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._request = CallerRequest()
        self._in_head = True

    def on_url(self, target: bytes) -> None:
        """Collect the target, which may come in parts."""
        self._request.target += target

    def on_header(self, name: bytes, text: bytes) -> None:
        """Collect a header."""
        headers = self._request.headers
        headers.append((name.lower(), text))
        if len(headers) > MAX_HEADERS:
            self._refuse(_too_large_head())

    def on_headers_complete(self) -> None:
        """Check the head and hand the request on."""
        request = self._request
        parser = self._parser
        request.method = parser.get_method()
        request.http10 = parser.get_http_version() == '1.0'
        request.keep_alive = parser.should_keep_alive()
        if _head_size(request) > self._max_header_bytes:
            self._refuse(_too_large_head())
        self._check_head(request)
        self._in_head = False
        self._on_head(request)

    def on_body(self, data: bytes) -> None:
        """Hand a part of the body on."""
        self._request.body_bytes += len(data)
        try:
            self._on_body(self._request, data)
        except BadRequestError as error:
            self._refuse(error)

    def on_message_complete(self) -> None:
        """Hand the end on."""
        self._request.body_complete = True
        self._head_bytes = 0
        self._in_head = True
        self._on_end(self._request)

    def _check_head(self, request: CallerRequest) -> None:
        hosts = sum(name == b'host' for name, _ in request.headers)
        if hosts > 1 or (not hosts and not request.http10):
            self._refuse(BadRequestError(400, b'Bad Request'))
        if not request.target.startswith(b'/') and request.target != b'*':
            self._refuse(BadRequestError(400, b'Bad Request'))
        coding = request.header(b'transfer-encoding')
        length = request.header(b'content-length')
        if coding is not None:
            if coding.strip().lower() != b'chunked' or length is not None:
                self._refuse(BadRequestError(400, b'Bad Request'))
            request.body_length = None
        elif length is not None:
            request.body_length = self._read_length(length)

    def _read_length(self, text: bytes) -> int:
        if not text.isdigit() or len(text) > _MAX_LENGTH_DIGITS:
            self._refuse(BadRequestError(400, b'Bad Request'))
        return int(text)

    def _refuse(self, error: BadRequestError) -> None:
        # The parser wraps what its callbacks raise, so the reason is kept.
        self._error = error
        raise error


def _too_large_head() -> BadRequestError:
    return BadRequestError(431, b'Request Header Fields Too Large')


def _head_size(request: CallerRequest) -> int:
    sizes = (len(name) + len(text) for name, text in request.headers)
    return len(request.target) + sum(sizes)

"""Turns bytes from a caller into requests, and refuses malformed ones."""

from collections.abc import Callable
from typing import Any

import httptools

from figdoor_gateway.frontend._checks import (
    BadRequestError,
    bad_request,
    check_head,
    too_large_head,
)
from figdoor_gateway.frontend._request import CallerRequest

MAX_HEADERS = 128


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
        # Segments inside one head: a header is reported only when it is
        # complete, and the parser holds it until then.
        self._unread_bytes = 0
        self._in_message = False
        self._in_head = True
        self._error: BadRequestError | None = None
        self._request = CallerRequest()
        self._parser: Any = httptools.HttpRequestParser(self)

    @property
    def in_head(self) -> bool:
        """Whether the head of a request has begun and is not complete."""
        return self._in_head and self._in_message

    @property
    def in_message(self) -> bool:
        """Whether a request has begun and is not complete."""
        return self._in_message

    def feed(self, data: bytes) -> None:
        """Parse; raises ``BadRequestError`` for what cannot be taken."""
        begun = self._request
        rest = data
        while rest:
            rest = self._feed_once(rest)
        if not self.in_head:
            self._unread_bytes = 0
        elif self._request is begun:
            self._unread_bytes += len(data)
            if self._unread_bytes > self._max_header_bytes:
                raise too_large_head()

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._request = CallerRequest()
        self._head_bytes = 0
        self._unread_bytes = 0
        self._in_message = True
        self._in_head = True

    def on_url(self, target: bytes) -> None:
        """Collect the target, which may come in parts."""
        self._request.target += target

    def on_header(self, name: bytes, text: bytes) -> None:
        """Collect a header; trailers are counted and dropped."""
        self._head_bytes += len(name) + len(text)
        if self._head_bytes > self._max_header_bytes:
            self._refuse(too_large_head())
        if not self._in_head:
            return
        headers = self._request.headers
        headers.append((name.lower(), text))
        if len(headers) > MAX_HEADERS:
            self._refuse(too_large_head())

    def on_headers_complete(self) -> None:
        """Check the head and hand the request on."""
        request = self._request
        parser = self._parser
        request.method = parser.get_method()
        request.keep_alive = parser.should_keep_alive()
        try:
            self._take_head(request)
        except BadRequestError as error:
            self._refuse(error)

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
        self._in_message = False
        self._on_end(self._request)

    def _take_head(self, request: CallerRequest) -> None:
        if self._head_bytes + len(request.target) > self._max_header_bytes:
            raise too_large_head()
        parser = self._parser
        check_head(
            request,
            parser.get_http_version(),
            parser.should_upgrade(),
        )
        self._head_bytes = 0
        self._in_head = False
        self._on_head(request)

    def _feed_once(self, data: bytes) -> bytes:
        """Feed the parser; return what is left after a refused upgrade."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            # An offer to change protocols may be ignored (RFC 9110, 7.8).
            return data[upgrade.args[0] :]
        except httptools.HttpParserError as error:
            raise self._error or bad_request() from error
        return b''

    def _refuse(self, error: BadRequestError) -> None:
        # The parser wraps what its callbacks raise, so the reason is kept.
        self._error = error
        raise error

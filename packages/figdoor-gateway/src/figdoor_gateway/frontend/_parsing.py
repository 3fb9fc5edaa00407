"""Parses requests of a caller, and rejects malformed ones."""

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
# Parsed at once outside of bodies. A read of 64 KB may hold 2,000 requests,
# whose objects take 30 times as much memory.
PART_BYTES = 4096
# Parsed at once in a chunked body.
CHUNKED_PART_BYTES = 16_384
# Parts of a body in one call of the parser that tell small chunks.
MANY_PARTS = 128
# Objects of a header, without the bytes of its name and value.
_HEADER_OBJECT_BYTES = 130


class RequestParser:
    """Reports each request when its head is complete, then its body."""

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
        # Bytes of an incomplete head in reads after the one that started it.
        # The parser buffers a header until it is complete, so that
        # ``_head_bytes`` does not count it yet.
        self._pending_head_bytes = 0
        # Bytes after the last part of the body: chunk sizes and trailers. The
        # parser buffers a trailer line until it is complete.
        self._framing_bytes = 0
        # Whether a head was completed or a part of a body was received.
        self._has_progress = False
        self._body_parts: list[bytes] = []
        self.has_small_chunks = False
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

    @property
    def part_bytes(self) -> int:
        """Bytes to parse at once, the rest of a body of known length."""
        request = self._request
        if not self._in_message or self._in_head:
            return PART_BYTES
        if request.body_length is None:
            return CHUNKED_PART_BYTES
        return max(request.body_length - request.body_bytes, PART_BYTES)

    @property
    def held_bytes(self) -> int:
        """Bytes of an incomplete head or trailer."""
        if not self._in_message:
            return 0
        header_count = len(self._request.headers) if self._in_head else 0
        return (
            max(self._head_bytes, self._pending_head_bytes)
            + self._framing_bytes
            + header_count * _HEADER_OBJECT_BYTES
        )

    def limit_heads(self, max_header_bytes: float) -> None:
        """Set the limit of a head."""
        self._max_header_bytes = max_header_bytes

    def feed(self, data: bytes) -> None:
        """Parse data; raises ``BadRequestError`` for a rejected request.

        The parts of a body in this data are reported together, so that small
        chunks cost little each.
        """
        first_request = self._request
        self._has_progress = False
        rest = data
        while rest:
            rest = self._feed_once(rest)
        if self._body_parts:
            self._report_body()
        if not self.in_head:
            self._pending_head_bytes = 0
            self._count_framing(len(data))
        elif self._request is first_request:
            self._pending_head_bytes += len(data)
            if self._pending_head_bytes > self._max_header_bytes:
                raise too_large_head()

    def close(self) -> None:
        """Release the request and the parser, which refers back to this."""
        self._parser = None
        self._error = None
        self._in_message = False
        self._request = CallerRequest()
        self._body_parts = []

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._request = CallerRequest()
        self._head_bytes = 0
        self._pending_head_bytes = 0
        self._framing_bytes = 0
        self._in_message = True
        self._in_head = True

    def on_url(self, target: bytes) -> None:
        """Collect the target, which may arrive in parts."""
        self._request.target += target

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; trailers are only counted against the limit."""
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > self._max_header_bytes:
            self._reject(too_large_head())
        if not self._in_head:
            return
        headers = self._request.headers
        headers.append((name.lower(), value))
        if len(headers) > MAX_HEADERS:
            self._reject(too_large_head())

    def on_headers_complete(self) -> None:
        """Check the head and report the request."""
        request = self._request
        parser = self._parser
        request.method = parser.get_method()
        request.keep_alive = parser.should_keep_alive()
        try:
            self._finish_head(request)
        except BadRequestError as error:
            self._reject(error)

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body."""
        self._has_progress = True
        self._body_parts.append(data)

    def on_message_complete(self) -> None:
        """Report the end of the request."""
        if self._body_parts:
            try:
                self._report_body()
            except BadRequestError as error:
                self._reject(error)
        self._request.body_complete = True
        self._in_message = False
        self._on_end(self._request)

    def _finish_head(self, request: CallerRequest) -> None:
        if self._head_bytes + len(request.target) > self._max_header_bytes:
            raise too_large_head()
        parser = self._parser
        check_head(
            request,
            parser.get_http_version(),
            parser.should_upgrade(),
        )
        request.head_bytes = (
            self._head_bytes
            + len(request.target)
            + len(request.headers) * _HEADER_OBJECT_BYTES
        )
        self._head_bytes = 0
        self._in_head = False
        self._has_progress = True
        self._on_head(request)

    def _report_body(self) -> None:
        parts = self._body_parts
        data = parts[0] if len(parts) == 1 else b''.join(parts)
        self._body_parts = []
        if len(parts) >= MANY_PARTS:
            self.has_small_chunks = True
        self._request.body_bytes += len(data)
        self._on_body(self._request, data)

    def _count_framing(self, received_bytes: int) -> None:
        """Limit the bytes of chunk sizes and trailers without any body."""
        if self._has_progress or not self._in_message:
            self._framing_bytes = 0
            return
        self._framing_bytes += received_bytes
        if self._framing_bytes > self._max_header_bytes:
            raise too_large_head()

    def _feed_once(self, data: bytes) -> bytes:
        """Feed the parser; return the data after an ignored upgrade."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            # An offer to change protocols may be ignored (RFC 9110, 7.8).
            return data[upgrade.args[0] :]
        except httptools.HttpParserError as error:
            raise self._error or bad_request() from error
        return b''

    def _reject(self, error: BadRequestError) -> None:
        # The parser replaces exceptions of its callbacks by its own, so the
        # original one is stored for ``_feed_once``.
        self._error = error
        raise error

"""State of one upstream response while it is parsed."""

import re
from collections.abc import Iterable

from figdoor_gateway.headers import end_to_end
from figdoor_gateway.protocols import (
    Dialect,
    Headers,
    ResponseHead,
    ResponseKind,
)

MAX_HEADERS = 128
# Other statuses are invalid (RFC 9110, section 15).
_FIRST_STATUS = 100
_SWITCHING_PROTOCOLS = 101
_FIRST_FINAL_STATUS = 200
_LAST_STATUS = 599
# The parser accepts any byte in a reason phrase. RFC 9112 does not allow these.
_CONTROL_CHARACTER = re.compile(rb'[\x00-\x08\x0a-\x1f\x7f]')
_BODILESS_STATUSES = frozenset((204, 304))
_NO_CONTENT = 204
_LENGTH = b'content-length'


class InvalidResponseError(Exception):
    """The upstream's response is malformed or must not be forwarded."""


class ParsedResponse:
    """The part of one response that has been parsed so far."""

    def __init__(
        self,
        is_head: bool,
        max_header_bytes: float,
        dialect: Dialect,
        request: Headers = (),
    ) -> None:
        """Start before the status line.

        ``request`` holds the headers of the request. ``is_head`` says that its
        method is ``HEAD``.
        """
        self.is_head = is_head
        self.is_stray = False
        self._is_close_delimited = False
        self._dialect = dialect
        self._request = request
        self.status = 0
        self.reason = b''
        self.headers: list[tuple[bytes, bytes]] = []
        self.has_head = False
        self.is_complete = False
        self.keeps_alive = False
        self._max_header_bytes = max_header_bytes
        self._header_bytes = 0

    @property
    def ends_on_close(self) -> bool:
        """Whether a clean close ends the response; a reset never does."""
        if self.is_stray or not self.has_head:
            return False
        return self._is_close_delimited

    def is_interim(self) -> bool:
        """Return whether a final response follows the one with this status.

        Raises ``InvalidResponseError`` if the status cannot be forwarded.
        """
        is_valid = _FIRST_STATUS <= self.status <= _LAST_STATUS
        if not is_valid or self.status == _SWITCHING_PROTOCOLS:
            raise InvalidResponseError
        return self.status < _FIRST_FINAL_STATUS

    def add_reason(self, reason: bytes) -> None:
        """Collect the reason phrase, which is left out if it is malformed."""
        self.reason += reason
        if _CONTROL_CHARACTER.search(self.reason):
            self.reason = b''

    def add_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; trailers are only counted against the limit."""
        self._header_bytes += len(name) + len(value)
        if self._header_bytes > self._max_header_bytes:
            raise InvalidResponseError
        if self.has_head:
            return
        self.headers.append((name.lower(), value))
        if len(self.headers) > MAX_HEADERS:
            raise InvalidResponseError

    def make_head(self) -> ResponseHead:
        """Return the head, and note how the body ends."""
        by_name = dict(self.headers)
        length = self._length(by_name)
        info = self._dialect.classify_response(
            self.status, by_name, self._request
        )
        if info.kind is ResponseKind.INVALID:
            raise InvalidResponseError
        self.is_stray = info.kind is ResponseKind.STRAY
        return ResponseHead(
            self.status,
            self.reason,
            list(self._forwarded_headers()),
            length,
            info.kind is ResponseKind.SHED,
            info.inner_outcome,
            info.report,
            info.leaving,
            info.backoff_ms,
        )

    def next_response(self) -> 'ParsedResponse':
        """Return the state before the next response to the same request."""
        return ParsedResponse(
            self.is_head,
            self._max_header_bytes,
            self._dialect,
            self._request,
        )

    def _forwarded_headers(self) -> Iterable[tuple[bytes, bytes]]:
        for header in end_to_end(self.headers):
            # A 204 response has no length (RFC 9110, section 8.6).
            if header[0] != _LENGTH or self.status != _NO_CONTENT:
                yield header

    def _length(self, by_name: dict[bytes, bytes]) -> int | None:
        if self.is_head or self.status in _BODILESS_STATUSES:
            return 0
        coding = by_name.get(b'transfer-encoding')
        if coding is not None:
            if coding.strip().lower() != b'chunked':
                raise InvalidResponseError
            return None
        length = by_name.get(_LENGTH)
        if length is None:
            if not self._dialect.allows_close_delimited_body:
                raise InvalidResponseError
            self._is_close_delimited = True
            return None
        return int(length)

"""One answer of an upstream while it is parsed."""

from collections.abc import Iterable

from figdoor_gateway.headers import (
    INNER_OUTCOME,
    LOAD,
    OUTCOME,
    SHED,
    end_to_end,
    read_load_report,
)
from figdoor_gateway.protocols import AnswerHead

MAX_HEADERS = 128
_BODILESS_STATUSES = frozenset((204, 304))
_NO_CONTENT = 204
_SHED_STATUS = 503
_LENGTH = b'content-length'


class BadAnswerError(Exception):
    """The upstream's answer breaks the agreement."""


class Answer:
    """What has been parsed of one answer."""

    def __init__(self, is_head: bool, max_header_bytes: float) -> None:
        """Start before the status line."""
        self.is_head = is_head
        self.status = 0
        self.reason = b''
        self.headers: list[tuple[bytes, bytes]] = []
        self.head_seen = False
        self.is_over = False
        self.keeps_open = False
        self._max_header_bytes = max_header_bytes
        self._header_bytes = 0

    def add_header(self, name: bytes, text: bytes) -> None:
        """Take a header; trailers are counted and dropped."""
        self._header_bytes += len(name) + len(text)
        if self._header_bytes > self._max_header_bytes:
            raise BadAnswerError
        if self.head_seen:
            return
        self.headers.append((name.lower(), text))
        if len(self.headers) > MAX_HEADERS:
            raise BadAnswerError

    def make_head(self) -> AnswerHead:
        """Return the head; the length tells where the body ends."""
        named = dict(self.headers)
        length = self._length(named)
        report = named.get(LOAD)
        inner = OUTCOME in named or INNER_OUTCOME in named
        return AnswerHead(
            self.status,
            self.reason,
            list(self._passed_on()),
            length,
            # A deeper level's answer may carry on a mark that was not meant
            # for this level, and then proves nothing.
            self.status == _SHED_STATUS
            and named.get(SHED) == b'1'
            and not inner,
            inner,
            read_load_report(report) if report else None,
        )

    def _passed_on(self) -> Iterable[tuple[bytes, bytes]]:
        for pair in end_to_end(self.headers):
            # 204 has no length (RFC 9110, section 8.6).
            if pair[0] != _LENGTH or self.status != _NO_CONTENT:
                yield pair

    def _length(self, named: dict[bytes, bytes]) -> int | None:
        if self.is_head or self.status in _BODILESS_STATUSES:
            return 0
        coding = named.get(b'transfer-encoding')
        if coding is not None:
            if coding.strip().lower() != b'chunked':
                raise BadAnswerError
            return None
        length = named.get(_LENGTH)
        if length is None:
            # The end of such a body cannot be told from a cut.
            raise BadAnswerError
        return int(length)

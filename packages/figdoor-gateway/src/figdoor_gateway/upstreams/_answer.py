"""One answer of an upstream while it is parsed."""

from collections.abc import Iterable

from figdoor_gateway.headers import end_to_end
from figdoor_gateway.protocols import (
    AnswerHead,
    AnswerKind,
    Dialect,
    Headers,
)

MAX_HEADERS = 128
_BODILESS_STATUSES = frozenset((204, 304))
_NO_CONTENT = 204
_LENGTH = b'content-length'


class BadAnswerError(Exception):
    """The upstream's answer breaks the agreement."""


class Answer:
    """What has been parsed of one answer."""

    def __init__(
        self,
        is_head: bool,
        max_header_bytes: float,
        dialect: Dialect,
        request: Headers = (),
    ) -> None:
        """Start before the status line; ``request`` are the headers sent."""
        self.is_head = is_head
        self.is_stray = False
        self._has_no_length = False
        self._dialect = dialect
        self._request = request
        self.status = 0
        self.reason = b''
        self.headers: list[tuple[bytes, bytes]] = []
        self.head_seen = False
        self.is_over = False
        self.keeps_open = False
        self._max_header_bytes = max_header_bytes
        self._header_bytes = 0

    @property
    def ends_by_close(self) -> bool:
        """Whether a clean close is the end of the answer; a reset never is."""
        if self.is_stray or not self.head_seen:
            return False
        return self._has_no_length

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
        facts = self._dialect.answer_facts(self.status, named, self._request)
        if facts.kind is AnswerKind.INVALID:
            raise BadAnswerError
        self.is_stray = facts.kind is AnswerKind.STRAY
        return AnswerHead(
            self.status,
            self.reason,
            list(self._passed_on()),
            length,
            facts.kind is AnswerKind.SHED,
            facts.inner_outcome,
            facts.report,
        )

    def next_answer(self) -> 'Answer':
        """Return the state before the next answer to the same request."""
        return Answer(
            self.is_head,
            self._max_header_bytes,
            self._dialect,
            self._request,
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
            if not self._dialect.closing_ends_body:
                raise BadAnswerError
            self._has_no_length = True
            return None
        return int(length)

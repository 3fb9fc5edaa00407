"""Checks of a request head that the parser does not make."""

import re

from figdoor_gateway.frontend._request import CallerRequest

_MAX_LENGTH_DIGITS = 15
_VERSIONS = frozenset(('1.0', '1.1'))
# Visible ASCII without ``#``, since a request target has no fragment.
_TARGET = re.compile(rb'/[!"$-~]*|\*')
_HOST = re.compile(rb'[\w.~:\[\]%!$&\'()*+,;=-]*', re.ASCII)


class BadRequestError(Exception):
    """A request is rejected with this status and reason phrase."""

    def __init__(self, status: int, phrase: bytes) -> None:
        """Store the status and reason phrase of the response."""
        super().__init__(status, phrase)
        self.status = status
        self.phrase = phrase


def bad_request() -> BadRequestError:
    """Return the error for a malformed or ambiguous request."""
    return BadRequestError(400, b'Bad Request')


def too_large_head() -> BadRequestError:
    """Return the error for a head above the limit."""
    return BadRequestError(431, b'Request Header Fields Too Large')


def too_large_body() -> BadRequestError:
    """Return the error for a body above the limit."""
    return BadRequestError(413, b'Content Too Large')


def check_head(request: CallerRequest, version: str, upgrade: bool) -> None:
    """Raise ``BadRequestError`` for a malformed or ambiguous head.

    Also sets ``http10`` and ``body_length`` of the request.
    """
    request.http10 = version == '1.0'
    hosts, lengths, codings = _framing_headers(request)
    if version not in _VERSIONS or not _has_valid_target(request, hosts):
        raise bad_request()
    request.body_length = _body_length(request, lengths, codings)
    if upgrade and request.body_length != 0:
        # The parser would treat this body as data of the other protocol.
        raise bad_request()


def _has_valid_target(request: CallerRequest, hosts: list[bytes]) -> bool:
    if not _TARGET.fullmatch(request.target):
        return False
    if request.target == b'*' and request.method != b'OPTIONS':
        return False
    if not hosts:
        return request.http10
    return len(hosts) == 1 and _HOST.fullmatch(hosts[0]) is not None


def _framing_headers(
    request: CallerRequest,
) -> tuple[list[bytes], list[bytes], list[bytes]]:
    hosts = []
    lengths = []
    codings = []
    for name, value in request.headers:
        if name == b'host':
            hosts.append(value)
        elif name == b'content-length':
            lengths.append(value)
        elif name == b'transfer-encoding':
            codings.append(value)
    return hosts, lengths, codings


def _body_length(
    request: CallerRequest,
    lengths: list[bytes],
    codings: list[bytes],
) -> int | None:
    """Return the length that the head states, ``None`` for chunked coding."""
    if len(lengths) + len(codings) > 1:
        raise bad_request()
    if codings:
        # HTTP/1.0 has no chunked coding (RFC 9112, section 6.1).
        if codings[0].strip().lower() != b'chunked' or request.http10:
            raise bad_request()
        return None
    if not lengths:
        return 0
    value = lengths[0]
    if not value.isdigit() or len(value) > _MAX_LENGTH_DIGITS:
        raise bad_request()
    return int(value)

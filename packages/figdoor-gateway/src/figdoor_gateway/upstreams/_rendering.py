"""Encoding of requests to upstreams."""

from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer

from figdoor_gateway.protocols import BodySource, OutboundRequest

LAST_CHUNK = b'0\r\n\r\n'
_METHODS_WITHOUT_BODY = frozenset((b'GET', b'HEAD', b'OPTIONS', b'TRACE'))


@implementer(IPushProducer)
class BodyProducer:
    """Forwards the flow control of the connection to the body's source."""

    def __init__(self, source: BodySource) -> None:
        """Keep the source paused."""
        self._source = source
        self._is_buffer_full = False

    def begin(self) -> None:
        """Resume the source, unless the write buffer is full already."""
        if not self._is_buffer_full:
            self._source.resume_body()

    def pauseProducing(self) -> None:  # noqa: N802
        """Pause the source, because the write buffer is full."""
        self._is_buffer_full = True
        self._source.pause_body()

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume the source."""
        self._is_buffer_full = False
        self._source.resume_body()

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing; the connection reports its own loss."""


def render_request(request: OutboundRequest) -> bytes:
    """Return the request head with its framing, and the body so far."""
    lines = [b'%b %b HTTP/1.1' % (request.method, request.target)]
    lines.extend([b'%b: %b' % header for header in request.headers])
    length = request.body_length
    if length is None:
        lines.append(b'transfer-encoding: chunked')
    elif length or request.method not in _METHODS_WITHOUT_BODY:
        lines.append(b'content-length: %d' % length)
    lines.append(b'\r\n')
    head = b'\r\n'.join(lines)
    return head + _render_body(request) if request.body_length != 0 else head


def render_chunk(data: bytes) -> bytes:
    """Return the data as one chunk of chunked coding."""
    return b'%x\r\n%b\r\n' % (len(data), data)


def _render_body(request: OutboundRequest) -> bytes:
    if request.body_length is not None:
        return request.body
    chunk = render_chunk(request.body) if request.body else b''
    return chunk + LAST_CHUNK if request.body_complete else chunk

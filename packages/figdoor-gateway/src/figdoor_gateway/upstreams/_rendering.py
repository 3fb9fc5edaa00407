"""What a request looks like on the connection to an upstream."""

from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer

from figdoor_gateway.protocols import BodySource, OutboundRequest

LAST_CHUNK = b'0\r\n\r\n'
_USUALLY_BODILESS = frozenset((b'GET', b'HEAD', b'OPTIONS', b'TRACE'))


@implementer(IPushProducer)
class BodyProducer:
    """Tells a body's source how fast the connection takes the body."""

    def __init__(self, source: BodySource) -> None:
        """Keep the source paused."""
        self._source = source
        self._is_full = False

    def begin(self) -> None:
        """Let the source go on, unless the connection is full already."""
        if not self._is_full:
            self._source.resume_body()

    def pauseProducing(self) -> None:  # noqa: N802
        """Hold the body back."""
        self._is_full = True
        self._source.pause_body()

    def resumeProducing(self) -> None:  # noqa: N802
        """Go on with the body."""
        self._is_full = False
        self._source.resume_body()

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing; the lost connection is reported separately."""


def render_request(request: OutboundRequest) -> bytes:
    """Return the request's head with its framing, and the body so far."""
    lines = [b'%b %b HTTP/1.1' % (request.method, request.target)]
    lines.extend([b'%b: %b' % pair for pair in request.headers])
    length = request.body_length
    if length is None:
        lines.append(b'transfer-encoding: chunked')
    elif length or request.method not in _USUALLY_BODILESS:
        lines.append(b'content-length: %d' % length)
    lines.append(b'\r\n')
    head = b'\r\n'.join(lines)
    return head + _render_body(request) if request.body_length != 0 else head


def render_chunk(data: bytes) -> bytes:
    """Return one chunk of chunked coding."""
    return b'%x\r\n%b\r\n' % (len(data), data)


def _render_body(request: OutboundRequest) -> bytes:
    if request.body_length is not None:
        return request.body
    chunk = render_chunk(request.body) if request.body else b''
    return chunk + LAST_CHUNK if request.body_complete else chunk

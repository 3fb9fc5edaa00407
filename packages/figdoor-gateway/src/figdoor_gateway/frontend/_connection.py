"""One connection of a caller: requests in order, one at a time."""

from collections import deque
from typing import TYPE_CHECKING, Any

from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from figdoor_gateway.frontend._answers import render_error
from figdoor_gateway.frontend._parsing import BadRequestError, RequestParser
from figdoor_gateway.frontend._proxying import ProxiedCall
from figdoor_gateway.frontend._request import CallerRequest

if TYPE_CHECKING:
    from figdoor_gateway.frontend._server import HttpFrontEnd

_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
MAX_PIPELINED = 8


class CallerConnection(Protocol):
    """Reads requests and has each answered before the next is begun."""

    def __init__(self, front_end: 'HttpFrontEnd') -> None:
        """Start without a request."""
        self.transport: Any = None
        self.front_end = front_end
        self.last_active_ms = front_end.clock.now_ms()
        self.head_begun_ms: float | None = None
        self.proxied: ProxiedCall | None = None
        self._settings = front_end.settings
        self._parser = RequestParser(
            self._on_head,
            self._on_body,
            self._on_end,
            self._settings.max_header_bytes,
        )
        self._waiting: deque[CallerRequest] = deque()
        self._error: BadRequestError | None = None
        self._closing = False

    @property
    def is_busy(self) -> bool:
        """Whether a request is in progress or being read."""
        return self.proxied is not None or bool(self._waiting)

    def connectionMade(self) -> None:  # noqa: N802
        """Join the front end's connections."""
        self.transport.setTcpNoDelay(True)
        self.front_end.add(self)

    def connectionLost(  # noqa: N802
        self,
        reason: Failure = connectionDone,
    ) -> None:
        """Abandon what is in progress, since nobody awaits it."""
        self._closing = True
        self._waiting.clear()
        if self.proxied is not None:
            self.proxied.abandon()
        self.front_end.remove(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse and start the next request."""
        if self._closing or self._error is not None:
            return
        now_ms = self.front_end.clock.now_ms()
        self.last_active_ms = now_ms
        try:
            self._parser.feed(data)
        except BadRequestError as error:
            self._error = error
        self.head_begun_ms = now_ms if self._parser.in_head else None
        self._start_next()

    def finish_request(self, keep_open: bool) -> None:
        """Go on after an answer was written completely."""
        self.proxied = None
        self.last_active_ms = self.front_end.clock.now_ms()
        if keep_open and not self._closing:
            self._start_next()
        else:
            self.close()
        self.front_end.note_idle()

    def close(self) -> None:
        """Close after everything written has left."""
        self._closing = True
        self.transport.loseConnection()

    def abort(self) -> None:
        """Close at once, so that a cut answer does not look complete."""
        self._closing = True
        self.proxied = None
        self.transport.abortConnection()
        self.front_end.note_idle()

    def _on_head(self, request: CallerRequest) -> None:
        length = request.body_length
        if length is not None and length > self._settings.max_body_bytes:
            raise _too_large_body()
        expected = request.header(b'expect')
        if expected is not None:
            if expected.lower() != b'100-continue':
                raise BadRequestError(417, b'Expectation Failed')
            if not self.is_busy and length != 0:
                self.transport.write(_CONTINUE)
        self._waiting.append(request)
        if len(self._waiting) > MAX_PIPELINED:
            raise BadRequestError(400, b'Bad Request')

    def _on_body(self, request: CallerRequest, data: bytes) -> None:
        if request.body_bytes > self._settings.max_body_bytes:
            raise _too_large_body()
        if request.on_data is not None:
            request.on_data(data)
            return
        request.body += data
        self._start_next()

    def _on_end(self, request: CallerRequest) -> None:
        if request.on_end is not None:
            request.on_end()

    def _start_next(self) -> None:
        if self.proxied is not None or self._closing:
            return
        if self._waiting and self._is_ready(self._waiting[0]):
            request = self._waiting.popleft()
            self.proxied = ProxiedCall(self, request)
            self.proxied.start()
        elif self._error is not None:
            self._refuse(self._error)

    def _is_ready(self, request: CallerRequest) -> bool:
        if request.body_complete:
            return True
        limit_bytes: float = self._settings.max_buffered_body_bytes
        return len(request.body) > limit_bytes

    def _refuse(self, error: BadRequestError) -> None:
        self.front_end.count_malformed()
        self.transport.write(render_error(error.status, error.phrase))
        self.close()


def _too_large_body() -> BadRequestError:
    return BadRequestError(413, b'Content Too Large')

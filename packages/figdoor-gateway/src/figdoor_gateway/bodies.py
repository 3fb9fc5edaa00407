"""Reads bodies of responses up to a limit."""

from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone

from figdoor_gateway.loop import Timer, call_later, cancel
from figdoor_kernel import FigdoorError


class BodyTooLongError(FigdoorError):
    """A body is longer than the limit; its connection was closed."""


class BodyStalledError(FigdoorError):
    """No byte of a body arrived for too long; its connection was closed."""


def read_body(
    response: Any,
    max_bytes: int,
    stall_timeout_ms: float = 0,
) -> Deferred[bytes]:
    """Return the body of a treq response that was requested unbuffered.

    Fails with ``BodyTooLongError`` if it is longer than ``max_bytes``, at
    once if the head states so, and with the reason of the close if the
    connection is lost before its end. Unless ``stall_timeout_ms`` is 0, it
    fails with ``BodyStalledError`` after such a time without a byte.
    """
    body = _Body(max_bytes, stall_timeout_ms)
    length = getattr(response, 'length', None)
    if isinstance(length, int):
        body.expected_bytes = length
    response.deliverBody(body)
    return body.finished


class _Body(Protocol):
    """Collects the body of a response."""

    def __init__(self, max_bytes: int, stall_timeout_ms: float) -> None:
        self.finished: Deferred[bytes] = Deferred(self._disconnect)
        self.expected_bytes = 0
        self._max_bytes = max_bytes
        self._stall_timeout_ms = stall_timeout_ms
        self._timer: Timer | None = None
        self._parts = bytearray()

    def connectionMade(self) -> None:  # noqa: N802
        """Refuse a body whose stated length exceeds the limit."""
        self._restart_timer()
        self._check_length(self.expected_bytes)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Append a part of the body."""
        if self.finished.called:
            return
        self._restart_timer()
        self._parts += data
        self._check_length(len(self._parts))

    def connectionLost(  # noqa: N802
        self,
        reason: Failure = connectionDone,
    ) -> None:
        """Complete the body, or fail if the connection was lost before."""
        cancel(self._timer)
        if self.finished.called:
            return
        if reason.check(ResponseDone):
            self.finished.callback(bytes(self._parts))
        else:
            self.finished.errback(reason)

    def _check_length(self, length: int) -> None:
        if length > self._max_bytes:
            self._parts.clear()
            message = f'response body is longer than {self._max_bytes} bytes'
            self._fail(BodyTooLongError(message))

    def _restart_timer(self) -> None:
        cancel(self._timer)
        if self._stall_timeout_ms:
            self._timer = call_later(self._stall_timeout_ms, self._on_stall)

    def _on_stall(self) -> None:
        self._parts.clear()
        self._fail(
            BodyStalledError(f'no byte for {self._stall_timeout_ms:.0f} ms')
        )

    def _fail(self, error: FigdoorError) -> None:
        cancel(self._timer)
        self.finished.errback(error)
        self._disconnect(self.finished)

    def _disconnect(self, _: object) -> None:
        cancel(self._timer)
        transport: Any = self.transport
        if transport is not None:
            transport.loseConnection()

"""Reads bodies of responses up to a limit."""

from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone

from figdoor_kernel import FigdoorError


class BodyTooLongError(FigdoorError):
    """A body is longer than the limit; its connection was closed."""


def read_body(response: Any, max_bytes: int) -> Deferred[bytes]:
    """Return the body of a treq response that was requested unbuffered.

    Fails with ``BodyTooLongError`` if it is longer than ``max_bytes``, and
    with the reason of the close if the connection is lost before its end.
    """
    body = _Body(max_bytes)
    response.deliverBody(body)
    return body.finished


class _Body(Protocol):
    """Collects the body of a response."""

    def __init__(self, max_bytes: int) -> None:
        self.finished: Deferred[bytes] = Deferred(self._disconnect)
        self._max_bytes = max_bytes
        self._parts = bytearray()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Append a part of the body."""
        if self.finished.called:
            return
        self._parts += data
        if len(self._parts) > self._max_bytes:
            self._parts.clear()
            message = f'response body is longer than {self._max_bytes} bytes'
            self.finished.errback(BodyTooLongError(message))
            self._disconnect(self.finished)

    def connectionLost(  # noqa: N802
        self,
        reason: Failure = connectionDone,
    ) -> None:
        """Complete the body, or fail if the connection was lost before."""
        if self.finished.called:
            return
        if reason.check(ResponseDone):
            self.finished.callback(bytes(self._parts))
        else:
            self.finished.errback(reason)

    def _disconnect(self, _: object) -> None:
        transport: Any = self.transport
        if transport is not None:
            transport.loseConnection()

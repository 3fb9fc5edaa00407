"""Handle of one request, from waiting for a connection to the response."""

from collections.abc import Callable

from figdoor_gateway.protocols import OutboundRequest, ResponseReceiver
from figdoor_gateway.sockets import unsent_bytes
from figdoor_gateway.upstreams._connection import UpstreamConnection


class HttpRequestHandle:
    """A request in flight, whose connection may still be opening.

    Body parts that arrive before the connection is open are buffered. Once the
    response is complete, the connection may carry other requests, and calls
    on this handle have no effect.
    """

    def __init__(
        self,
        request: OutboundRequest,
        receiver: ResponseReceiver,
        release: Callable[[UpstreamConnection], None],
    ) -> None:
        """Start without a connection."""
        self._request = request
        self._receiver = receiver
        self._release = release
        self._connection: UpstreamConnection | None = None
        self._is_cancelled = False

    @property
    def unsent_bytes(self) -> int:
        """Bytes that wait on the connection of the request."""
        connection = self._active_connection()
        return 0 if connection is None else unsent_bytes(connection.transport)

    def send_on(self, connection: UpstreamConnection) -> None:
        """Send over this connection, if the receiver confirms it."""
        if self._is_cancelled:
            self._release(connection)
        elif self._receiver.confirm_send():
            self._connection = connection
            connection.send(self._request, self._receiver)
        else:
            self._release(connection)
            self._receiver.on_unsent(refused=False)

    def fail(self, refused: bool) -> None:
        """Report that there is no connection for the request."""
        if not self._is_cancelled:
            self._receiver.on_unsent(refused)

    def cancel(self) -> None:
        """Cancel the request; the receiver gets no further callbacks."""
        self._is_cancelled = True
        connection = self._active_connection()
        if connection is not None:
            connection.abort()

    def send_body(self, data: bytes) -> None:
        """Send a part of the body, or buffer it until connected."""
        connection = self._active_connection()
        if connection is not None:
            connection.send_body(data)
        elif self._connection is None:
            self._request.body += data

    def finish_body(self) -> None:
        """End the request body."""
        connection = self._active_connection()
        if connection is not None:
            connection.finish_body()
        elif self._connection is None:
            self._request.body_complete = True

    def pause(self) -> None:
        """Stop reading the response."""
        connection = self._active_connection()
        if connection is not None:
            connection.pause()

    def resume(self) -> None:
        """Continue reading the response."""
        connection = self._active_connection()
        if connection is not None:
            connection.resume()

    def _active_connection(self) -> UpstreamConnection | None:
        connection = self._connection
        if connection is None or not connection.is_serving(self._receiver):
            return None
        return connection

"""One attempt: waits for a connection, then writes the request."""

from collections.abc import Callable

from figdoor_gateway.protocols import AnswerReceiver, OutboundRequest
from figdoor_gateway.upstreams._connection import UpstreamConnection


class HttpSending:
    """A request on its way over a connection that may still be opening.

    Body parts that arrive before the connection is open are held. Once the
    answer is complete the connection belongs to other requests, and whatever
    is still asked of this attempt has no effect on it.
    """

    def __init__(
        self,
        request: OutboundRequest,
        receiver: AnswerReceiver,
        give_back: Callable[[UpstreamConnection], None],
    ) -> None:
        """Start without a connection."""
        self._request = request
        self._receiver = receiver
        self._give_back = give_back
        self._connection: UpstreamConnection | None = None
        self._cancelled = False

    def use(self, connection: UpstreamConnection) -> None:
        """Send over this connection, if that is still allowed."""
        if self._cancelled:
            self._give_back(connection)
        elif self._receiver.may_send():
            self._connection = connection
            connection.send(self._request, self._receiver)
        else:
            self._give_back(connection)
            self._receiver.unsent(refused=False)

    def refuse(self, refused: bool) -> None:
        """Report that no connection was opened."""
        if not self._cancelled:
            self._receiver.unsent(refused)

    def cancel(self) -> None:
        """Give up; the receiver hears nothing more."""
        self._cancelled = True
        connection = self._current()
        if connection is not None:
            connection.abort()

    def send_body(self, data: bytes) -> None:
        """Send a further part of the body, or hold it until connected."""
        connection = self._current()
        if connection is not None:
            connection.send_body(data)
        elif self._connection is None:
            self._request.body += data

    def finish_body(self) -> None:
        """End the body."""
        connection = self._current()
        if connection is not None:
            connection.finish_body()
        elif self._connection is None:
            self._request.body_complete = True

    def pause(self) -> None:
        """Stop reading the answer."""
        connection = self._current()
        if connection is not None:
            connection.pause()

    def resume(self) -> None:
        """Go on reading the answer."""
        connection = self._current()
        if connection is not None:
            connection.resume()

    def _current(self) -> UpstreamConnection | None:
        connection = self._connection
        if connection is None or not connection.carries(self._receiver):
            return None
        return connection

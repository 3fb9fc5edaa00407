"""One attempt: waits for a connection, then writes the request."""

from collections.abc import Callable

from figdoor_gateway.protocols import AnswerReceiver, OutboundRequest
from figdoor_gateway.upstreams._connection import UpstreamConnection


class HttpSending:
    """A request on its way over a connection that may still be opening.

    Body parts that arrive before the connection is open are held.
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
            return
        if not self._receiver.may_send():
            self._give_back(connection)
            self._receiver.unsent(refused=False)
            return
        self._connection = connection
        connection.send(self._request, self._receiver)

    def refuse(self) -> None:
        """Report that no connection could be opened."""
        if not self._cancelled:
            self._receiver.unsent(refused=True)

    def cancel(self) -> None:
        """Give up; the receiver hears nothing more."""
        self._cancelled = True
        if self._connection is not None:
            self._connection.cancel()

    def send_body(self, data: bytes) -> None:
        """Send a further part of the body, or hold it until connected."""
        if self._connection is None:
            self._request.body += data
        else:
            self._connection.send_body(data)

    def finish_body(self) -> None:
        """End the body."""
        if self._connection is None:
            self._request.body_complete = True
        else:
            self._connection.finish_body()

    def pause(self) -> None:
        """Stop reading the answer."""
        if self._connection is not None:
            self._connection.transport.pauseProducing()

    def resume(self) -> None:
        """Go on reading the answer."""
        if self._connection is not None and self._connection.is_open:
            self._connection.transport.resumeProducing()

"""Opens TCP connections to servers."""

from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import ClientFactory, Protocol
from twisted.python.failure import Failure

from figdoor_gateway import loop


class ClientConnection(Protocol):
    """A connection that this node opens."""

    opened: 'Deferred[Any] | None' = None

    def connectionMade(self) -> None:  # noqa: N802
        """Report that the connection is open."""
        if self.opened is not None:
            self.opened.callback(self)


def open_connection(
    address: tuple[str, int],
    timeout_ms: float,
    connection: ClientConnection,
) -> Deferred[Any]:
    """Return the connection once it is open; cancelling ends the attempt.

    Twisted's endpoints do the same, but importing them takes 1 MB of memory,
    and their connections pass all data through a second object.
    """
    opening = _Opening(connection)
    host, port = address
    opening.connector = loop.reactor.connectTCP(
        host,
        port,
        opening,
        timeout=timeout_ms / loop.MS_PER_SECOND,
    )
    return opening.opened


class _Opening(ClientFactory):
    """Opens one connection."""

    noisy = False

    def __init__(self, connection: ClientConnection) -> None:
        self.opened: Deferred[Any] = Deferred(self._cancel)
        self.connector: Any = None
        self._connection = connection
        connection.opened = self.opened

    def buildProtocol(self, addr: object) -> ClientConnection:  # noqa: N802
        """Return the connection."""
        return self._connection

    def clientConnectionFailed(  # noqa: N802
        self,
        connector: object,
        reason: Failure,
    ) -> None:
        """Report the failure."""
        if not self.opened.called:
            self.opened.errback(reason)

    def _cancel(self, _: object) -> None:
        self.connector.disconnect()

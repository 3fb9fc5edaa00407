"""The listener for callers and all their connections."""

from collections.abc import Callable
from typing import Any

from loguru import logger
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.task import LoopingCall

from figdoor_gateway.frontend._connection import CallerConnection
from figdoor_gateway.loop import BACKLOG, reactor
from figdoor_gateway.protocols import UpstreamTransport
from figdoor_kernel import Clock, Dispatcher, Extension, Node

SWEEP_INTERVAL_S = 1


class HttpFrontEnd(Factory):
    """Listens for callers, and stops without cutting an answer."""

    noisy = False

    def __init__(self, node: Node) -> None:
        """Use the node's dispatcher parts and upstream transport."""
        self.settings = node.settings
        self.clock: Clock = node.clock
        self.dispatcher = Dispatcher(node)
        self.transport: UpstreamTransport = node.part(
            Extension.UPSTREAM_TRANSPORT,
            'http',
        )
        self.is_draining = False
        self.malformed_count = 0
        self._connections: set[CallerConnection] = set()
        self._port: Any = None
        self._on_idle: Callable[[], None] | None = None
        self._sweeper = LoopingCall(self._sweep)

    @property
    def busy_count(self) -> int:
        """How many connections have a request in progress."""
        return sum(one.is_busy for one in self._connections)

    @property
    def unfinished_count(self) -> int:
        """How many connections have an answer still to come or to leave.

        Once the listener is closed, each open connection is one: the end of
        its answer may still be on its way to a slow caller.
        """
        if self._port is None:
            return len(self._connections)
        return self.busy_count

    def buildProtocol(self, addr: object) -> Protocol | None:  # noqa: N802
        """Take a connection, unless there are too many."""
        if len(self._connections) >= self.settings.max_caller_connections:
            return None
        return CallerConnection(self)

    def start(self) -> None:
        """Open the listener."""
        address = self.settings.listen
        self._port = reactor.listenTCP(
            address.port,
            self,
            BACKLOG,
            address.host,
        )
        self._sweeper.start(SWEEP_INTERVAL_S, now=False)
        logger.info('taking requests on {}', address)

    def drain(self) -> None:
        """Ask callers to close their connections after the next answer."""
        self.is_draining = True

    def close(self, on_idle: Callable[[], None]) -> None:
        """Close the listener and call back once nothing is in progress."""
        self.is_draining = True
        self._on_idle = on_idle
        if self._port is not None:
            self._port.stopListening()
            self._port = None
        for connection in tuple(self._connections):
            if not connection.is_busy:
                connection.close()
        self._note_idle()

    def abort(self) -> None:
        """End everything that is still in progress."""
        logger.error('cut {} requests', self.busy_count)
        for connection in tuple(self._connections):
            connection.abort()

    def add(self, connection: CallerConnection) -> None:
        """Keep track of an open connection."""
        self._connections.add(connection)

    def remove(self, connection: CallerConnection) -> None:
        """Forget a closed connection."""
        self._connections.discard(connection)
        self._note_idle()

    def count_malformed(self) -> None:
        """Count a request that was refused as malformed."""
        self.malformed_count += 1

    def _note_idle(self) -> None:
        # Waits for the connections and not just for their requests: the end
        # of an answer may still be on its way to a slow caller.
        if self._on_idle is None or self._connections:
            return
        on_idle = self._on_idle
        self._on_idle = None
        on_idle()

    def _sweep(self) -> None:
        now_ms = self.clock.now_ms()
        for connection in tuple(self._connections):
            connection.check_timeouts(now_ms)

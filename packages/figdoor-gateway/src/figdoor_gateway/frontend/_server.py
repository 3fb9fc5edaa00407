"""The listener for callers and all their connections."""

from collections.abc import Callable
from dataclasses import asdict, replace
from typing import Any

from loguru import logger
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.task import LoopingCall

from figdoor_gateway.frontend._connection import CallerConnection
from figdoor_gateway.loop import BACKLOG, reactor
from figdoor_gateway.protocols import Dialect, UpstreamTransport
from figdoor_gateway.sockets import is_readable, refuse_new_connections
from figdoor_kernel import (
    Clock,
    Dispatcher,
    Extension,
    Node,
    SettingsChanged,
    TablesAccepted,
)

SWEEP_INTERVAL_S = 1
# How often a closing front end looks for connections that it can close.
CLOSE_INTERVAL_S = 0.05
# Handshakes that have begun complete in this time.
HANDSHAKE_MS = 100


class HttpFrontEnd(Factory):
    """Listens for callers, and stops without cutting an answer."""

    noisy = False

    def __init__(self, node: Node) -> None:
        """Use the node's dispatcher parts and upstream transport."""
        self._node = node
        self.settings = node.settings
        self.clock: Clock = node.clock
        self.dispatcher = Dispatcher(node)
        self.transport: UpstreamTransport = node.part(
            Extension.UPSTREAM_TRANSPORT,
            'http',
        )
        self.dialect: Dialect = node.part(
            Extension.DIALECT,
            node.settings.dialect,
        )
        node.events.subscribe(TablesAccepted, self._on_change)
        node.events.subscribe(SettingsChanged, self._on_change)
        self.is_draining = False
        self.malformed_count = 0
        self._connections: set[CallerConnection] = set()
        self._port: Any = None
        self._on_idle: Callable[[], None] | None = None
        self._sweeper = LoopingCall(self._sweep)
        self._closer = LoopingCall(self._close_step)
        self._listener_end_ms: float | None = None

    @property
    def busy_count(self) -> int:
        """How many connections have a request in progress."""
        return sum(one.is_busy for one in self._connections)

    @property
    def unfinished_count(self) -> int:
        """How many connections have an answer still to come or to leave.

        Once the front end closes, each open connection is one: the end of its
        answer may still be on its way to a slow caller. So is the listener,
        which may hold connections that were not accepted yet.
        """
        if self._listener_end_ms is None:
            return self.busy_count
        return len(self._connections) + (self._port is not None)

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
        """Close the listener and call back once nothing is in progress.

        Requests that have arrived and were not read yet are in progress too,
        so listener and connections close only when nothing waits in them.
        """
        self.is_draining = True
        self._on_idle = on_idle
        self._listener_end_ms = self.clock.now_ms() + HANDSHAKE_MS
        if self._port is not None:
            refuse_new_connections(self._port.socket)
        self._closer.start(CLOSE_INTERVAL_S)

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

    def _on_change(self, event: TablesAccepted | SettingsChanged) -> None:
        """Apply the limits that the tables set to all connections."""
        tables = self._node.tables
        limits = asdict(tables.caller_limits) if tables else {}
        known = {name: limit for name, limit in limits.items() if limit}
        self.settings = replace(self._node.settings, **known)

    def _close_step(self) -> None:
        now_ms = self.clock.now_ms()
        for connection in tuple(self._connections):
            connection.close_if_unused(now_ms)
        if self._port is not None:
            self._close_listener(now_ms)
        self._note_idle()

    def _close_listener(self, now_ms: float) -> None:
        is_due = now_ms >= (self._listener_end_ms or 0)
        if is_due and not is_readable(self._port):
            self._port.stopListening()
            self._port = None

    def _note_idle(self) -> None:
        if self._on_idle is None or self.unfinished_count:
            return
        on_idle = self._on_idle
        self._on_idle = None
        self._closer.stop()
        on_idle()

    def _sweep(self) -> None:
        now_ms = self.clock.now_ms()
        for connection in tuple(self._connections):
            connection.check_timeouts(now_ms)

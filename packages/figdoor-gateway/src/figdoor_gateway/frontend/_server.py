"""HTTP server for callers: listener and connections."""

from collections.abc import Callable
from dataclasses import asdict, replace
from typing import Any

from loguru import logger
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.task import LoopingCall

from figdoor_gateway.frontend._connection import CallerConnection
from figdoor_gateway.frontend._memory import CallerLimiter
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

TIMEOUT_CHECK_INTERVAL_S = 1
# How often a closing front end closes the connections that are unused.
CLOSE_INTERVAL_S = 0.05
# Time for TCP handshakes in progress to complete before the listener closes.
HANDSHAKE_TIMEOUT_MS = 100


class HttpFrontEnd(Factory):
    """Listens for callers, and can stop without truncating a response."""

    noisy = False

    def __init__(self, node: Node) -> None:
        """Build the dispatcher and subscribe to changes of limits."""
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
        node.events.subscribe(TablesAccepted, self._update_limits)
        node.events.subscribe(SettingsChanged, self._update_limits)
        self.limiter = CallerLimiter(node)
        self.is_draining = False
        self.malformed_count = 0
        self._connections: set[CallerConnection] = set()
        self._port: Any = None
        self._on_idle: Callable[[], None] | None = None
        self._timeout_timer = LoopingCall(self._check_timeouts)
        self._close_timer = LoopingCall(self._close_unused)
        self._listener_close_ms: float | None = None

    @property
    def busy_count(self) -> int:
        """Number of connections with a request in progress."""
        return sum(connection.is_busy for connection in self._connections)

    @property
    def unfinished_count(self) -> int:
        """Number of connections with a response not yet fully sent.

        Once the front end closes, each open connection counts, since the end
        of its response may not have been sent to a slow caller. The listener
        counts too, since connections may wait there to be accepted.
        """
        if self._listener_close_ms is None:
            return self.busy_count
        return len(self._connections) + (self._port is not None)

    def buildProtocol(self, addr: object) -> Protocol | None:  # noqa: N802
        """Accept a connection unless a limit of connections is reached."""
        if len(self._connections) >= self.settings.max_caller_connections:
            return None
        if not self.limiter.make_room():
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
        self._timeout_timer.start(TIMEOUT_CHECK_INTERVAL_S, now=False)
        logger.info('listening for callers on {}', address)

    def drain(self) -> None:
        """Ask callers to close their connections after the next response."""
        self.is_draining = True

    def close(self, on_idle: Callable[[], None]) -> None:
        """Close the listener; call ``on_idle`` once nothing is in progress.

        Requests that have arrived but were not read yet are in progress too.
        The listener and the connections close only when nothing is waiting in
        their sockets.
        """
        self.is_draining = True
        self._on_idle = on_idle
        self._listener_close_ms = self.clock.now_ms() + HANDSHAKE_TIMEOUT_MS
        if self._port is not None:
            refuse_new_connections(self._port.socket)
        self._close_timer.start(CLOSE_INTERVAL_S)

    def abort(self) -> None:
        """End all connections, with the requests in progress on them.

        A request that was not sent to an upstream yet is refused as not run;
        the other connections are reset.
        """
        logger.error('aborting {} requests in progress', self.busy_count)
        for connection in tuple(self._connections):
            if connection.call is None:
                connection.abort()
            else:
                connection.call.abort()

    def add(self, connection: CallerConnection) -> None:
        """Add an open connection."""
        self._connections.add(connection)

    def remove(self, connection: CallerConnection) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)
        self._call_if_idle()

    def count_malformed(self) -> None:
        """Count a request that was rejected as malformed."""
        self.malformed_count += 1

    def report_error(self, error: Exception) -> None:
        """Report an unexpected error during a call."""
        self._node.events.report_error(error, self.clock.now_ms())

    def _update_limits(self, event: TablesAccepted | SettingsChanged) -> None:
        """Apply the limits set in the tables, and the settings for the rest."""
        tables = self._node.tables
        limits = asdict(tables.caller_limits) if tables else {}
        table_limits = {name: limit for name, limit in limits.items() if limit}
        self.settings = replace(self._node.settings, **table_limits)

    def _close_unused(self) -> None:
        now_ms = self.clock.now_ms()
        for connection in tuple(self._connections):
            connection.close_if_unused(now_ms)
        if self._port is not None:
            self._close_listener(now_ms)
        self._call_if_idle()

    def _close_listener(self, now_ms: float) -> None:
        is_handshake_over = now_ms >= (self._listener_close_ms or 0)
        if is_handshake_over and not is_readable(self._port):
            self._port.stopListening()
            self._port = None

    def _call_if_idle(self) -> None:
        if self._on_idle is None or self.unfinished_count:
            return
        on_idle = self._on_idle
        self._on_idle = None
        self._close_timer.stop()
        on_idle()

    def _check_timeouts(self) -> None:
        now_ms = self.clock.now_ms()
        for connection in tuple(self._connections):
            connection.check_timeouts(now_ms)
        self.limiter.check(now_ms)

"""Connections to one upstream."""

from collections import deque
from collections.abc import Callable
from functools import partial

from loguru import logger
from twisted.internet.endpoints import (
    TCP4ClientEndpoint,
    TCP6ClientEndpoint,
    connectProtocol,
)
from twisted.python.failure import Failure

from figdoor_gateway import loop
from figdoor_gateway.protocols import Dialect
from figdoor_gateway.settings import Settings
from figdoor_gateway.upstreams._connection import UpstreamConnection
from figdoor_gateway.upstreams._sending import HttpSending
from figdoor_kernel import Clock


class UpstreamPool:
    """Keeps idle connections, since opening one costs about a millisecond.

    The one that was used last is used first, so that the oldest stay idle
    and are closed first when there are too many.
    """

    def __init__(
        self,
        address: tuple[str, int],
        settings: Settings,
        on_last_closed: Callable[[], None],
        dialect: Dialect,
        clock: Clock,
    ) -> None:
        """Start without connections."""
        self.address = address
        self._dialect = dialect
        self._clock = clock
        self._settings = settings
        self._on_last_closed = on_last_closed
        self._idle: deque[UpstreamConnection] = deque()
        self._open: set[UpstreamConnection] = set()
        self._opening = 0
        self._limit: int | None = None

    @property
    def open_count(self) -> int:
        """How many connections are open or being opened."""
        return len(self._open) + self._opening

    def take(self, max_idle_ms: float) -> UpstreamConnection | None:
        """Return an idle connection that was used within ``max_idle_ms``."""
        oldest_ms = self._clock.now_ms() - max_idle_ms
        while self._idle and self._idle[-1].idle_since_ms >= oldest_ms:
            connection = self._idle.pop()
            if connection.is_usable:
                return connection
        return None

    def keep(self, connection: UpstreamConnection) -> None:
        """Keep a connection for later, unless there are too many."""
        if connection.is_usable:
            connection.idle_since_ms = self._clock.now_ms()
            self._idle.append(connection)
            if self._limit is not None and len(self._open) > self._limit:
                self.trim(self._limit)

    def connect(self, sending: HttpSending) -> None:
        """Open a connection and send over it."""
        host, port = self.address
        kind = TCP6ClientEndpoint if ':' in host else TCP4ClientEndpoint
        endpoint = kind(
            loop.reactor,
            host,
            port,
            timeout=self._settings.connect_timeout_ms / loop.MS_PER_SECOND,
        )
        connection = UpstreamConnection(
            self.keep,
            self._on_closed,
            self._settings.max_header_bytes,
            self._dialect,
        )
        self._opening += 1
        connecting = connectProtocol(endpoint, connection)
        connecting.addCallbacks(
            partial(self._on_connected, sending),
            partial(self._on_refused, sending),
        )
        connecting.addErrback(_log_failure)

    def trim(self, limit: int) -> None:
        """Close the oldest idle connections above the limit."""
        self._limit = limit
        surplus = sum(one.is_usable for one in self._open) - limit
        while surplus > 0 and self._idle:
            self._idle.popleft().close()
            surplus -= 1

    def retire(self) -> None:
        """Close all connections as soon as they are idle."""
        self.trim(0)

    def _on_connected(
        self,
        sending: HttpSending,
        connection: UpstreamConnection,
    ) -> None:
        self._opening -= 1
        self._open.add(connection)
        sending.use(connection)

    def _on_refused(self, sending: HttpSending, reason: Failure) -> None:
        self._opening -= 1
        sending.refuse(refused=True)

    def _on_closed(self, connection: UpstreamConnection) -> None:
        if connection in self._idle:
            self._idle.remove(connection)
        self._open.discard(connection)
        if not self._open:
            self._on_last_closed()


def _log_failure(failure: Failure) -> None:
    logger.error('sending to an upstream failed: {}', failure.getTraceback())

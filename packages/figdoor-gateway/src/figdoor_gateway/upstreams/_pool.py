"""Connection pool of one upstream."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from loguru import logger
from twisted.python.failure import Failure

from figdoor_gateway.connecting import open_connection
from figdoor_gateway.protocols import Dialect
from figdoor_gateway.settings import Settings
from figdoor_gateway.upstreams._connection import UpstreamConnection
from figdoor_gateway.upstreams._request_handle import HttpRequestHandle
from figdoor_kernel import Clock, InstanceId


@dataclass(frozen=True, slots=True)
class Origin:
    """Address of an upstream, and the instance that is listed there."""

    host: str
    port: int
    instance: InstanceId


class UpstreamPool:
    """Keeps idle connections, since opening one takes about a millisecond.

    The connection that was used last is reused first, so that the oldest stay
    idle and are closed first when there are too many.
    """

    def __init__(
        self,
        origin: Origin,
        settings: Settings,
        on_last_closed: Callable[[], None],
        dialect: Dialect,
        clock: Clock,
        on_error: Callable[[Exception], None],
    ) -> None:
        """Start without connections."""
        self._on_error = on_error
        self.origin = origin
        self._dialect = dialect
        self._clock = clock
        self._settings = settings
        self._on_last_closed = on_last_closed
        self._idle: deque[UpstreamConnection] = deque()
        self._open: set[UpstreamConnection] = set()
        self._connecting_count = 0
        self._limit: int | None = None

    @property
    def open_count(self) -> int:
        """Number of connections that are open or being opened."""
        return len(self._open) + self._connecting_count

    def acquire(self, max_idle_ms: float) -> UpstreamConnection | None:
        """Return a connection idle for at most ``max_idle_ms``, if any."""
        oldest_ms = self._clock.now_ms() - max_idle_ms
        while self._idle and self._idle[-1].idle_since_ms >= oldest_ms:
            connection = self._idle.pop()
            if connection.is_usable:
                return connection
        return None

    def release(self, connection: UpstreamConnection) -> None:
        """Keep a free connection for reuse, unless there are too many."""
        if connection.is_usable:
            connection.idle_since_ms = self._clock.now_ms()
            self._idle.append(connection)
            if self._limit is not None and len(self._open) > self._limit:
                self.trim(self._limit)

    def connect(self, handle: HttpRequestHandle) -> None:
        """Open a connection and send the request over it."""
        connection = UpstreamConnection(
            self.release,
            self._on_closed,
            self._settings.max_header_bytes,
            self._dialect,
            self._on_error,
        )
        self._connecting_count += 1
        connecting = open_connection(
            (self.origin.host, self.origin.port),
            self._settings.connect_timeout_ms,
            connection,
        )
        connecting.addCallbacks(
            partial(self._on_connected, handle),
            partial(self._on_connect_failed, handle),
        )
        connecting.addErrback(_log_failure)

    def trim(self, limit: int) -> None:
        """Set the limit, and close the oldest idle connections above it."""
        self._limit = limit
        surplus = sum(connection.is_usable for connection in self._open) - limit
        while surplus > 0 and self._idle:
            self._idle.popleft().close()
            surplus -= 1

    def retire(self) -> None:
        """Close all connections as soon as they are idle."""
        self.trim(0)

    def _on_connected(
        self,
        handle: HttpRequestHandle,
        connection: UpstreamConnection,
    ) -> None:
        self._connecting_count -= 1
        self._open.add(connection)
        handle.send_on(connection)

    def _on_connect_failed(
        self, handle: HttpRequestHandle, reason: Failure
    ) -> None:
        self._connecting_count -= 1
        handle.fail(refused=True)

    def _on_closed(self, connection: UpstreamConnection) -> None:
        if connection in self._idle:
            self._idle.remove(connection)
        self._open.discard(connection)
        if not self._open:
            self._on_last_closed()


def _log_failure(failure: Failure) -> None:
    logger.error(
        'sending a request to an upstream failed: {}',
        failure.getTraceback(),
    )

"""Connections to all upstreams: warm ones first."""

from collections import deque
from functools import partial

from loguru import logger
from twisted.internet.endpoints import (
    TCP4ClientEndpoint,
    TCP6ClientEndpoint,
    connectProtocol,
)
from twisted.python.failure import Failure

from figdoor_gateway.loop import MS_PER_SECOND, reactor
from figdoor_gateway.protocols import AnswerReceiver, OutboundRequest
from figdoor_gateway.upstreams._connection import UpstreamConnection
from figdoor_gateway.upstreams._sending import HttpSending
from figdoor_kernel import ConnectionsClosed, Node, Upstream, UpstreamId


class HttpUpstreamTransport:
    """Keeps idle connections, since opening one costs about a millisecond."""

    def __init__(self, node: Node) -> None:
        """Read the limits from the node's settings."""
        self._node = node
        self._idle: dict[UpstreamId, deque[UpstreamConnection]] = {}
        self._open_counts: dict[UpstreamId, int] = {}

    def send(
        self,
        upstream: Upstream,
        request: OutboundRequest,
        receiver: AnswerReceiver,
    ) -> HttpSending:
        """Send over an idle connection, or open one."""
        upstream_id = upstream.upstream_id
        sending = HttpSending(
            request, receiver, partial(self._keep, upstream_id)
        )
        idle = self._idle.get(upstream_id)
        while idle:
            connection = idle.pop()
            if connection.is_open:
                sending.use(connection)
                return sending
        self._connect(upstream, sending)
        return sending

    def stop(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for connection in tuple(idle):
                connection.close()

    def _connect(self, upstream: Upstream, sending: HttpSending) -> None:
        upstream_id = upstream.upstream_id
        kind = (
            TCP6ClientEndpoint if ':' in upstream.host else TCP4ClientEndpoint
        )
        settings = self._node.settings
        endpoint = kind(
            reactor,
            upstream.host,
            upstream.port,
            timeout=settings.connect_timeout_ms / MS_PER_SECOND,
        )
        connection = UpstreamConnection(
            partial(self._keep, upstream_id),
            partial(self._forget, upstream_id),
            settings.max_header_bytes,
        )
        connecting = connectProtocol(endpoint, connection)
        connecting.addCallbacks(
            partial(self._on_connected, upstream_id, sending),
            partial(_on_refused, sending),
        )
        connecting.addErrback(_log_failure)

    def _on_connected(
        self,
        upstream_id: UpstreamId,
        sending: HttpSending,
        connection: UpstreamConnection,
    ) -> None:
        known = self._open_counts.get(upstream_id, 0)
        self._open_counts[upstream_id] = known + 1
        sending.use(connection)

    def _keep(
        self,
        upstream_id: UpstreamId,
        connection: UpstreamConnection,
    ) -> None:
        if connection.is_open:
            self._idle.setdefault(upstream_id, deque()).append(connection)

    def _forget(
        self,
        upstream_id: UpstreamId,
        connection: UpstreamConnection,
    ) -> None:
        idle = self._idle.get(upstream_id)
        if idle and connection in idle:
            idle.remove(connection)
        left = self._open_counts.pop(upstream_id, 1) - 1
        if left:
            self._open_counts[upstream_id] = left
            return
        now_ms = self._node.clock.now_ms()
        self._node.events.publish(ConnectionsClosed(upstream_id, now_ms))


def _on_refused(sending: HttpSending, reason: Failure) -> None:
    sending.refuse()


def _log_failure(failure: Failure) -> None:
    logger.error('sending to an upstream failed: {}', failure.getTraceback())

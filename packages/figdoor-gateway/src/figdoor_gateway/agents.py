"""HTTP clients that avoid threads and never retry on their own."""

from ipaddress import ip_address
from typing import Any

from treq.client import HTTPClient
from twisted.internet.endpoints import (
    HostnameEndpoint,
    TCP4ClientEndpoint,
    TCP6ClientEndpoint,
)
from twisted.web.client import URI, Agent, HTTPConnectionPool
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

from figdoor_gateway.framing import FramingLimit
from figdoor_gateway.loop import MS_PER_SECOND, reactor

# Twisted limits the length of a header line, but not their number.
MAX_HEAD_BYTES = 16_384
IPV4 = 4


def make_client(connect_timeout_ms: float, persistent: bool) -> HTTPClient:
    """Return a client that keeps its connections if ``persistent``.

    Automatic retries are off: neither the limit on reads of the platform nor
    the probe budget would count them. A response whose head, with the interim
    responses before it, exceeds ``MAX_HEAD_BYTES`` fails.
    """
    pool = _LimitedPool(reactor, persistent=persistent)
    pool.retryAutomatically = False
    factory = _AddressEndpoints(connect_timeout_ms / MS_PER_SECOND)
    return HTTPClient(Agent.usingEndpointFactory(reactor, factory, pool))


class _LimitedPool(HTTPConnectionPool):
    """Limits the heads of responses on all of its connections."""

    def getConnection(self, key: Any, endpoint: Any) -> Any:  # noqa: N802
        opening = super().getConnection(key, endpoint)
        return opening.addCallback(_limit_heads)


def _limit_heads(connection: Any) -> Any:
    """Limit heads on a connection that was opened or is used again."""
    if not isinstance(connection.dataReceived, _HeadLimit):
        connection.dataReceived = _HeadLimit(connection)
    return connection


class _HeadLimit:
    """Passes data on to a connection, and aborts it if a head is too long."""

    def __init__(self, connection: Any) -> None:
        self._connection = connection
        self._receive = connection.dataReceived
        self._send = connection.request
        self._limit = FramingLimit(MAX_HEAD_BYTES)
        self._is_in_head = False
        connection.request = self.request

    def __call__(self, data: bytes) -> None:
        self._receive(data)
        if self._is_in_head and not self._limit.fits(len(data)):
            self._connection.abort()

    def request(self, request: Any) -> Any:
        """Send a request; the result arrives with the end of the head."""
        self._limit.reset()
        self._is_in_head = True
        return self._send(request).addBoth(self._end_head)

    def _end_head(self, outcome: Any) -> Any:
        self._is_in_head = False
        return outcome


@implementer(IAgentEndpointFactory)
class _AddressEndpoints:
    """Connects to IP addresses without the resolver.

    Twisted's agent passes even an IP address to its resolver, which uses
    threads. Here only host names are resolved, still with threads.
    """

    def __init__(self, timeout_s: float) -> None:
        self._timeout_s = timeout_s

    def endpointForURI(self, uri: URI) -> Any:  # noqa: N802
        host = uri.host.decode('ascii').strip('[]')
        try:
            version = ip_address(host).version
        except ValueError:
            return HostnameEndpoint(reactor, host, uri.port, self._timeout_s)
        endpoint = TCP4ClientEndpoint if version == IPV4 else TCP6ClientEndpoint
        return endpoint(reactor, host, uri.port, self._timeout_s)

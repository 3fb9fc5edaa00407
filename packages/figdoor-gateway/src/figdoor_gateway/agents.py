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

from figdoor_gateway.loop import MS_PER_SECOND, reactor

IPV4 = 4


def make_client(connect_timeout_ms: float, persistent: bool) -> HTTPClient:
    """Return a client that keeps its connections if ``persistent``.

    Automatic retries are off: neither the limit on reads of the platform nor
    the probe budget would count them.
    """
    pool = HTTPConnectionPool(reactor, persistent=persistent)
    pool.retryAutomatically = False
    factory = _AddressEndpoints(connect_timeout_ms / MS_PER_SECOND)
    return HTTPClient(Agent.usingEndpointFactory(reactor, factory, pool))


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

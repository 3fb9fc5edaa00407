"""Transport to upstreams over pooled HTTP/1.1 connections."""

from figdoor_gateway.upstreams._transport import HttpUpstreamTransport
from figdoor_kernel import Extension, Registry

__all__ = ('HttpUpstreamTransport', 'register')


def register(registry: Registry) -> None:
    """Register the HTTP/1.1 transport."""
    registry.provide(
        Extension.UPSTREAM_TRANSPORT,
        'http',
        HttpUpstreamTransport,
    )

"""Messages between nodes: UDP datagrams, and TCP for tables."""

from figdoor_gateway.peers._codec import decode, encode
from figdoor_gateway.peers._schema import MalformedMessage
from figdoor_gateway.peers._transport import PeerTransport
from figdoor_kernel import Extension, Registry

__all__ = (
    'MalformedMessage',
    'PeerTransport',
    'decode',
    'encode',
    'register',
)


def register(registry: Registry) -> None:
    """Provide the transport."""
    registry.provide(Extension.PEER_TRANSPORT, 'udp', PeerTransport)

"""Communication between nodes: messages over UDP, larger data over TCP."""

from figdoor_gateway.peers._codec import decode, encode
from figdoor_gateway.peers._schema import MalformedMessage
from figdoor_gateway.peers._transport import ItemPeerTransport, PeerTransport
from figdoor_kernel import Extension, Registry

__all__ = (
    'ItemPeerTransport',
    'MalformedMessage',
    'PeerTransport',
    'decode',
    'encode',
    'register',
    'register_item_peers',
)


def register(registry: Registry) -> None:
    """Provide the transport for messages and tables."""
    registry.provide(Extension.PEER_TRANSPORT, 'udp', PeerTransport)


def register_item_peers(registry: Registry) -> None:
    """Provide the transport for messages and published items."""
    registry.provide(Extension.PEER_TRANSPORT, 'udp', ItemPeerTransport)

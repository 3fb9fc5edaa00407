"""The sockets between nodes."""

from typing import Any

from loguru import logger
from twisted.internet.protocol import ServerFactory

from figdoor_gateway.loop import BACKLOG, reactor
from figdoor_gateway.peers._addresses import Address, Addresses
from figdoor_gateway.peers._codec import MAX_DATAGRAM_BYTES
from figdoor_gateway.peers._counters import PeerCounters
from figdoor_gateway.peers._datagrams import Datagrams
from figdoor_gateway.peers._items import ItemsClient, ItemsServer
from figdoor_gateway.peers._sync_client import SyncClient
from figdoor_gateway.peers._sync_server import SyncServer
from figdoor_kernel import Extension, Node


class PeerSockets:
    """UDP for messages and TCP for what is longer, on the same port."""

    def __init__(
        self,
        node: Node,
        datagrams: Datagrams,
        server: ServerFactory,
    ) -> None:
        """Open nothing yet."""
        self._node = node
        self._datagrams = datagrams
        self._server = server
        self._ports: list[Any] = []

    def start(self) -> None:
        """Open the ports."""
        address = self._node.settings.peer_listen
        self._ports = [
            reactor.listenUDP(
                address.port,
                self._datagrams,
                address.host,
                # One byte more than allowed shows that a datagram is longer.
                MAX_DATAGRAM_BYTES + 1,
            ),
            reactor.listenTCP(
                address.port,
                self._server,
                BACKLOG,
                address.host,
            ),
        ]
        logger.info('peers on {}', address)

    def stop(self) -> None:
        """Close the ports."""
        for port in self._ports:
            port.stopListening()


class PeerTransport(PeerSockets):
    """Messages and tables."""

    def __init__(self, node: Node) -> None:
        """Build both sides."""
        counters = _make_counters(node)
        addresses = Addresses(node)
        client = SyncClient(node, addresses, counters)
        super().__init__(
            node,
            Datagrams(node, addresses, counters, client.ask_stranger),
            SyncServer(node, addresses, counters),
        )


class ItemPeerTransport(PeerSockets):
    """Messages and published items."""

    def __init__(self, node: Node) -> None:
        """Build both sides."""
        counters = _make_counters(node)
        addresses = Addresses(node)
        self._client = ItemsClient(node, addresses, counters)
        super().__init__(
            node,
            Datagrams(node, addresses, counters, _ignore_stranger),
            ItemsServer(node, addresses, counters),
        )


def _make_counters(node: Node) -> PeerCounters:
    metrics = node.part(Extension.SERVICE, 'metrics')
    return PeerCounters(metrics.collectors)


def _ignore_stranger(address: Address) -> None:
    """Strangers introduce themselves by digests."""

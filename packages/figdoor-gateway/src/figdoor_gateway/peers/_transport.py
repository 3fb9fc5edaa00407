"""Opens and closes the sockets for traffic between nodes."""

from typing import Any

from loguru import logger
from twisted.internet.protocol import ServerFactory

from figdoor_gateway.loop import BACKLOG, reactor
from figdoor_gateway.peers._addresses import Address, Addresses
from figdoor_gateway.peers._codec import MAX_DATAGRAM_BYTES
from figdoor_gateway.peers._counters import PeerCounters
from figdoor_gateway.peers._datagrams import Datagrams
from figdoor_gateway.peers._items import ItemsClient, ItemsServer
from figdoor_gateway.peers._state import StateClient
from figdoor_gateway.peers._sync_client import SyncClient
from figdoor_gateway.peers._sync_server import SyncServer
from figdoor_kernel import Extension, Node


class PeerSockets:
    """UDP for messages and TCP for larger data, on the same port."""

    def __init__(
        self,
        node: Node,
        datagrams: Datagrams,
        server: ServerFactory,
    ) -> None:
        """Prepare the sockets; ``start`` opens them."""
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
                # One more byte than allowed, to detect longer datagrams.
                MAX_DATAGRAM_BYTES + 1,
            ),
            reactor.listenTCP(
                address.port,
                self._server,
                BACKLOG,
                address.host,
            ),
        ]
        logger.info('listening for peers on {}, UDP and TCP', address)

    def stop(self) -> None:
        """Close the ports."""
        for port in self._ports:
            port.stopListening()


class PeerTransport(PeerSockets):
    """Transport for messages and tables."""

    def __init__(self, node: Node) -> None:
        """Create the client, the server and the datagram protocol."""
        counters = _make_counters(node)
        addresses = Addresses(node)
        client = SyncClient(node, addresses, counters)
        super().__init__(
            node,
            Datagrams(node, addresses, counters, client.request_vm_list),
            SyncServer(node, addresses, counters),
        )


class ItemPeerTransport(PeerSockets):
    """Transport for messages and published items."""

    def __init__(self, node: Node) -> None:
        """Create the client, the server and the datagram protocol."""
        counters = _make_counters(node)
        addresses = Addresses(node)
        self._client = ItemsClient(node, addresses, counters)
        self._state_client = StateClient(node, addresses, counters)
        super().__init__(
            node,
            Datagrams(node, addresses, counters, _ignore_unlisted_sender),
            ItemsServer(node, addresses, counters),
        )


def _make_counters(node: Node) -> PeerCounters:
    metrics = node.part(Extension.SERVICE, 'metrics')
    return PeerCounters(metrics.collectors)


def _ignore_unlisted_sender(address: Address) -> None:
    """Do nothing, since unlisted nodes introduce themselves by digests."""

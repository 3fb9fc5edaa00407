"""The sockets between nodes."""

from typing import Any

from loguru import logger

from figdoor_gateway.loop import BACKLOG, reactor
from figdoor_gateway.peers._addresses import Addresses
from figdoor_gateway.peers._codec import MAX_DATAGRAM_BYTES
from figdoor_gateway.peers._counters import PeerCounters
from figdoor_gateway.peers._datagrams import Datagrams
from figdoor_gateway.peers._sync_client import SyncClient
from figdoor_gateway.peers._sync_server import SyncServer
from figdoor_kernel import Extension, Node


class PeerTransport:
    """UDP for messages and TCP for tables, on the same port number."""

    def __init__(self, node: Node) -> None:
        """Build both sides, and open nothing yet."""
        self._node = node
        metrics = node.part(Extension.SERVICE, 'metrics')
        counters = PeerCounters(metrics.collectors)
        addresses = Addresses(node)
        client = SyncClient(node, addresses, counters)
        self._server = SyncServer(node, addresses, counters)
        self._datagrams = Datagrams(
            node,
            addresses,
            counters,
            client.ask_stranger,
        )
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

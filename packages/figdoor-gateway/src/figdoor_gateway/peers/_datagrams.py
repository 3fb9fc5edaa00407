"""Messages between nodes over UDP."""

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import DatagramProtocol

from figdoor_gateway.peers._addresses import Address, Addresses
from figdoor_gateway.peers._codec import (
    MAX_DATAGRAM_BYTES,
    decode,
    encode,
)
from figdoor_gateway.peers._counters import RECEIVED, SENT, PeerCounters
from figdoor_gateway.peers._schema import MalformedMessage
from figdoor_kernel import (
    AddressSendRequested,
    Digest,
    Heartbeat,
    Node,
    NodeId,
    PeerMessage,
    PeerMessageReceived,
    PeerSendRequested,
    serialized_type_name,
)


class Datagrams(DatagramProtocol):
    """Sends requested messages and publishes received ones.

    A message is accepted from the address that the VM list has for its
    sender. A digest is also accepted from a node that is not listed yet, if
    it names the address that it came from as the sender's.
    """

    def __init__(
        self,
        node: Node,
        addresses: Addresses,
        counters: PeerCounters,
        on_unlisted_sender: Callable[[Address], None],
    ) -> None:
        """Subscribe to send requests, which are dropped while the port is closed.

        ``on_unlisted_sender`` gets the addresses of heartbeats that arrive
        before this node has its first VM list.
        """
        self._node = node
        self._addresses = addresses
        self._counters = counters
        self._on_unlisted_sender = on_unlisted_sender
        node.events.subscribe(PeerSendRequested, self._on_send_requested)
        node.events.subscribe(
            AddressSendRequested, self._on_address_send_requested
        )

    def datagramReceived(  # noqa: N802
        self,
        datagram: bytes,
        addr: Address,
    ) -> None:
        """Decode, check and publish one message."""
        try:
            sender, message = decode(datagram)
        except MalformedMessage:
            self._counters.count_dropped('malformed')
            return
        if self._addresses.matches(sender, addr[:2]) or (
            _introduces(sender, message, addr[:2])
        ):
            kind = serialized_type_name(type(message))
            self._counters.count(RECEIVED, kind, len(datagram))
            now_ms = self._node.clock.now_ms()
            received = PeerMessageReceived(sender, message, now_ms)
            self._node.events.publish(received)
            return
        self._counters.count_dropped('unlisted-sender')
        if not self._addresses.has_vm_list and isinstance(message, Heartbeat):
            self._on_unlisted_sender(addr[:2])

    def _on_send_requested(self, event: PeerSendRequested) -> None:
        address = self._addresses.of(event.target)
        if address is None:
            self._counters.count_dropped('unlisted-target')
        else:
            self._send(event.message, address)

    def _on_address_send_requested(self, event: AddressSendRequested) -> None:
        host, _, port = event.address.rpartition(':')
        self._send(event.message, (host, int(port)))

    def _send(self, message: PeerMessage, address: Address) -> None:
        transport: Any = self.transport
        if transport is None:
            self._counters.count_dropped('unsent')
            return
        datagram = encode(self._node.node_id, message)
        if len(datagram) > MAX_DATAGRAM_BYTES:
            self._counters.count_dropped('oversized')
            return
        try:
            transport.write(datagram, address)
        except OSError:
            self._counters.count_dropped('unsent')
            return
        kind = serialized_type_name(type(message))
        self._counters.count(SENT, kind, len(datagram))


def _introduces(sender: NodeId, message: PeerMessage, address: Address) -> bool:
    """Return whether a digest names the source address as its sender's.

    The first member of a digest is its sender.
    """
    if not isinstance(message, Digest) or not message.members:
        return False
    own = message.members[0]
    is_sender = NodeId(own.vm_id) == sender
    return is_sender and (own.host, own.port) == address

"""Answers requests of peers over TCP."""

from dataclasses import replace
from typing import Any

from twisted.internet.protocol import ServerFactory
from twisted.protocols.basic import Int32StringReceiver

from figdoor_gateway.loop import Timer, call_later, cancel
from figdoor_gateway.peers._addresses import Addresses
from figdoor_gateway.peers._client import TRANSFER_MS
from figdoor_gateway.peers._counters import RECEIVED, SENT, PeerCounters
from figdoor_gateway.peers._frames import (
    MAX_REQUEST_BYTES,
    SyncRequest,
    decode_request,
    encode_answer,
)
from figdoor_gateway.peers._history import History
from figdoor_gateway.peers._schema import MalformedMessage
from figdoor_kernel import Node

# As long as a peer waits for its answer.
TIMEOUT_MS = TRANSFER_MS
# The reader of 312 nodes in 6 zones is asked by 62 nodes at once.
MAX_CONNECTIONS = 80
# Answers that are not sent yet. Each peer asks again with the next message
# that shows that it is behind, 0.4 s later.
MAX_UNSENT_BYTES = 8_000_000


class AnswerConnection(Int32StringReceiver):
    """One connection, which carries one request and its answer."""

    MAX_LENGTH = MAX_REQUEST_BYTES

    def __init__(self, server: 'PeerServer') -> None:
        """Use the server to admit the peer and to make the answer."""
        self._server = server
        self._timer: Timer | None = None
        self._unsent_bytes = 0

    def connectionMade(self) -> None:  # noqa: N802
        """Set the timeout; close the connection if it is not admitted."""
        transport: Any = self.transport
        self._timer = call_later(TIMEOUT_MS, transport.abortConnection)
        if not self._server.admit(transport.getPeer().host):
            transport.abortConnection()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Count the connection as closed."""
        cancel(self._timer)
        self._server.open_connections -= 1
        self._server.unsent_bytes -= self._unsent_bytes

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Answer the request and close after the answer is written."""
        transport: Any = self.transport
        answer = self._server.answer(string)
        if answer is None:
            transport.abortConnection()
            return
        self._unsent_bytes += len(answer)
        self._server.unsent_bytes += len(answer)
        self.sendString(answer)
        transport.loseConnection()

    def lengthLimitExceeded(self, length: int) -> None:  # noqa: N802
        """Count a frame that is too long for a request."""
        self._server.counters.count_dropped('malformed')
        super().lengthLimitExceeded(length)


class PeerServer(ServerFactory):
    """Accepts a bounded number of connections; a subclass answers."""

    noisy = False

    def __init__(self, addresses: Addresses, counters: PeerCounters) -> None:
        """Start without connections."""
        self.counters = counters
        self.open_connections = 0
        self.unsent_bytes = 0
        self._addresses = addresses

    def buildProtocol(  # noqa: N802
        self,
        addr: object,
    ) -> AnswerConnection:
        """Count a connection and create its protocol."""
        self.open_connections += 1
        return AnswerConnection(self)

    def admit(self, host: str) -> bool:
        """Return whether to answer; count rejected connections.

        Only hosts of listed nodes are admitted, and only as many connections
        as memory allows.
        """
        if not self._addresses.has_host(host):
            self.counters.count_dropped('unlisted-sender')
            return False
        if self.open_connections > MAX_CONNECTIONS:
            self.counters.count_dropped('too-many-connections')
            return False
        return True

    def answer(self, frame: bytes) -> bytes | None:
        """Return the frame of the answer, ``None`` if there is none.

        A malformed request gets none, and neither does one whose answer would
        exceed the memory for answers.
        """
        try:
            kind, encoded = self.make_answer(frame)
        except MalformedMessage:
            self.counters.count_dropped('malformed')
            return None
        if self.unsent_bytes + len(encoded) > MAX_UNSENT_BYTES:
            self.counters.count_dropped('busy')
            return None
        self.counters.count(SENT, kind, len(encoded))
        return encoded

    def make_answer(self, frame: bytes) -> tuple[str, bytes]:
        """Return message type and frame; raises ``MalformedMessage``."""
        raise NotImplementedError


class SyncServer(PeerServer):
    """Answers requests of peers for tables."""

    def __init__(
        self,
        node: Node,
        addresses: Addresses,
        counters: PeerCounters,
    ) -> None:
        """Start to record the changes of the tables."""
        super().__init__(addresses, counters)
        self._node = node
        self._history = History(node)

    def make_answer(self, frame: bytes) -> tuple[str, bytes]:
        """Return the tables newer than the revision in the request."""
        request = decode_request(frame)
        self.counters.count(RECEIVED, SyncRequest.__name__, len(frame))
        answer = self._history.answer(request)
        if request.wants_vm_list:
            vms = self._node.fleet.vm_list.vms
            answer = replace(answer, vms=vms)
        return type(answer).__name__, encode_answer(answer)

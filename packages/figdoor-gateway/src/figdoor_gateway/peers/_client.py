"""Requests to peers over TCP, each on its own connection."""

from collections.abc import Callable
from functools import partial
from typing import Any

from twisted.internet.protocol import ClientFactory
from twisted.protocols.basic import Int32StringReceiver

from figdoor_gateway.loop import MS_PER_SECOND, call_later, cancel, reactor
from figdoor_gateway.peers._addresses import Address, Addresses
from figdoor_gateway.peers._counters import PeerCounters
from figdoor_gateway.peers._frames import MAX_ANSWER_BYTES
from figdoor_gateway.peers._schema import MalformedMessage
from figdoor_kernel import Node

# A change must reach every node within 3 s. This leaves time for a second
# request to another peer. It limits each pause, not the whole answer, since a
# link of 5 Mbit/s carries a megabyte in 1.7 s.
TIMEOUT_MS = 1000
# An answer that arrives a few bytes at a time must end.
TRANSFER_MS = 6000

OnAnswer = Callable[[bytes | None], None]


class _RequestConnection(Int32StringReceiver):
    """One connection, which carries one request and its answer."""

    MAX_LENGTH = MAX_ANSWER_BYTES

    def __init__(self, request: bytes, on_answer: OnAnswer) -> None:
        self._request = request
        self._on_answer: OnAnswer | None = on_answer
        self._timer = call_later(TIMEOUT_MS, self._abort)
        self._transfer_timer = call_later(TRANSFER_MS, self._abort)

    def connectionMade(self) -> None:  # noqa: N802
        """Send the request."""
        self.sendString(self._request)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Allow for another pause, and collect the answer."""
        cancel(self._timer)
        self._timer = call_later(TIMEOUT_MS, self._abort)
        super().dataReceived(data)

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Report the answer and close the connection."""
        self._abort()
        self._report(string)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Report that there is no answer, unless one was received."""
        cancel(self._timer)
        cancel(self._transfer_timer)
        self._report(None)

    def _abort(self) -> None:
        transport: Any = self.transport
        if transport is not None:
            transport.abortConnection()

    def _report(self, answer: bytes | None) -> None:
        on_answer = self._on_answer
        self._on_answer = None
        if on_answer is not None:
            on_answer(answer)


class _RequestFactory(ClientFactory):
    """Opens one connection for one request."""

    noisy = False

    def __init__(self, request: bytes, on_answer: OnAnswer) -> None:
        self._request = request
        self._on_answer = on_answer

    def buildProtocol(self, addr: object) -> _RequestConnection:  # noqa: N802
        """Create the protocol of the open connection."""
        return _RequestConnection(self._request, self._on_answer)

    def clientConnectionFailed(  # noqa: N802
        self,
        connector: object,
        reason: object,
    ) -> None:
        """Report that there is no answer."""
        self._on_answer(None)


class PeerClient:
    """Sends at most one request at a time.

    A failed request is not retried here: the next message of any peer shows
    again that this node is behind.
    """

    def __init__(
        self,
        node: Node,
        addresses: Addresses,
        counters: PeerCounters,
    ) -> None:
        """Start without a pending request."""
        self.counters = counters
        self._node = node
        self._addresses = addresses
        self._is_pending = False

    def request(
        self,
        address: Address,
        frame: bytes,
        on_answer: Callable[[bytes], None],
    ) -> None:
        """Send the frame of a request, unless another one is pending.

        ``on_answer`` gets the frame of the answer. If it raises
        ``MalformedMessage``, the answer counts as dropped.
        """
        if self._is_pending:
            return
        self._is_pending = True
        factory = _RequestFactory(frame, partial(self._on_end, on_answer))
        reactor.connectTCP(*address, factory, TIMEOUT_MS / MS_PER_SECOND)

    def _on_end(
        self,
        on_answer: Callable[[bytes], None],
        answer: bytes | None,
    ) -> None:
        self._is_pending = False
        if answer is None:
            self.counters.count_dropped('unanswered')
            return
        try:
            on_answer(answer)
        except MalformedMessage:
            self.counters.count_dropped('malformed')

"""Asks peers for their state over TCP after the start of this node."""

from functools import partial

from figdoor_gateway.peers._addresses import Addresses
from figdoor_gateway.peers._client import PeerClient
from figdoor_gateway.peers._counters import RECEIVED, PeerCounters
from figdoor_gateway.peers._state_frames import (
    decode_state,
    encode_state_request,
)
from figdoor_kernel import (
    Node,
    NodeId,
    StateReceived,
    StateRequested,
    TransferredState,
)


class StateClient(PeerClient):
    """Requests the state of a peer and publishes it."""

    def __init__(
        self,
        node: Node,
        addresses: Addresses,
        counters: PeerCounters,
    ) -> None:
        """Subscribe to requests."""
        super().__init__(node, addresses, counters)
        node.events.subscribe(StateRequested, self._on_requested)

    def _on_requested(self, event: StateRequested) -> None:
        address = self._addresses.of(event.peer)
        if address is not None:
            self.request(
                address,
                encode_state_request(self._node.node_id),
                partial(self._on_answer, event.peer),
            )

    def _on_answer(self, peer: NodeId, frame: bytes) -> None:
        state = decode_state(frame)
        self.counters.count(RECEIVED, TransferredState.__name__, len(frame))
        now_ms = self._node.clock.now_ms()
        self._node.events.publish(StateReceived(peer, state, now_ms))

"""Floods updates to all nodes and delivers each update once per node."""

from collections import OrderedDict
from dataclasses import dataclass

from figdoor_decisions.membership._duplicates import (
    Duplicates,
    make_sequence,
)
from figdoor_decisions.membership._neighbours import Neighbours
from figdoor_kernel import (
    BroadcastRequested,
    Extension,
    FloodedUpdate,
    Heartbeat,
    MissedUpdatesRequest,
    Node,
    NodeId,
    PeerMessageReceived,
    PeerSendRequested,
    RevisionAccepted,
    Service,
    UpdateReceived,
    UpstreamDied,
    UpstreamDraining,
    UpstreamTurnedCold,
    VmListDifference,
)

MAX_RETAINED = 512
# 96 sequence numbers fit into a heartbeat datagram of 1,200 bytes.
MAX_LISTED_SEQUENCES = 96
# Guarantees to callers and upstreams depend on these updates. Warm claims are
# not retained: losing one only costs time, until the next permit request.
RETAINED_TYPES = (UpstreamDied, UpstreamDraining, UpstreamTurnedCold)


@dataclass(frozen=True, slots=True)
class _RetainedUpdate:
    """Update kept for retransmission to neighbours that missed it."""

    flooded: FloodedUpdate
    since_ms: float


class Flooding(Service):
    """Forwards each update to all peers when it arrives for the first time.

    Updates of ``RETAINED_TYPES`` are retained for ``evidence_ms``. Heartbeats
    list their sequence numbers until the neighbour has acknowledged, and a
    neighbour that was disconnected requests those that it missed.
    """

    def __init__(self, node: Node) -> None:
        """Subscribe to broadcast requests and messages of peers."""
        self._node = node
        self._neighbours: Neighbours = node.part(
            Extension.SERVICE,
            'neighbours',
        )
        self._incarnation = node.random.getrandbits(32)
        self._counter = 0
        self._duplicates = Duplicates()
        self._retained: OrderedDict[int, _RetainedUpdate] = OrderedDict()
        node.events.subscribe(BroadcastRequested, self._on_broadcast_requested)
        node.events.subscribe(PeerMessageReceived, self._on_message)

    def recent_sequences(self, since_ms: float) -> tuple[int, ...]:
        """Return the sequence numbers of updates retained since then.

        The oldest comes first; at most ``MAX_LISTED_SEQUENCES`` of the newest
        are returned.
        """
        sequences = [
            sequence
            for sequence, retained in self._retained.items()
            if retained.since_ms >= since_ms
        ]
        return tuple(sequences[-MAX_LISTED_SEQUENCES:])

    def _on_broadcast_requested(self, event: BroadcastRequested) -> None:
        # Each node that accepts a revision reports it to its peers in a
        # heartbeat; flooding it from every node would cost n * n messages.
        if isinstance(event.update, RevisionAccepted):
            return
        self._counter += 1
        sequence = make_sequence(self._incarnation, self._counter)
        flooded = FloodedUpdate(self._node.node_id, sequence, event.update)
        self._duplicates.is_new(flooded.origin, sequence)
        self._forward(flooded, self._node.node_id, event.now_ms)

    def _on_message(self, event: PeerMessageReceived) -> None:
        match event.message:
            case FloodedUpdate() as flooded:
                self._on_flooded_update(flooded, event.sender, event.now_ms)
            case Heartbeat(recent=recent) if recent:
                self._request_missed(event.sender, recent)
            case MissedUpdatesRequest(sequences):
                for sequence in sequences[:MAX_LISTED_SEQUENCES]:
                    self._resend(event.sender, sequence)

    def _on_flooded_update(
        self, flooded: FloodedUpdate, sender: NodeId, now_ms: float
    ) -> None:
        if self._duplicates.is_new(flooded.origin, flooded.sequence):
            self._forward(flooded, sender, now_ms)
            self._node.events.publish(
                UpdateReceived(flooded.origin, flooded.update, now_ms),
            )

    def _forward(
        self,
        flooded: FloodedUpdate,
        sender: NodeId,
        now_ms: float,
    ) -> None:
        if isinstance(flooded.update, RETAINED_TYPES):
            self._retain(flooded, now_ms)
        if isinstance(flooded.update, VmListDifference):
            # A peer outside the ring is in few VM lists yet and reads its own
            # list whole.
            peers = self._neighbours.on_ring
        else:
            peers = self._neighbours.peers(now_ms)
        for peer in peers:
            if peer not in {sender, flooded.origin}:
                self._send(peer, flooded)

    def _retain(self, flooded: FloodedUpdate, now_ms: float) -> None:
        retained = self._retained
        retained[flooded.sequence] = _RetainedUpdate(flooded, now_ms)
        oldest_ms = now_ms - self._node.options.evidence_ms
        while len(retained) > MAX_RETAINED:
            retained.popitem(last=False)
        while next(iter(retained.values())).since_ms < oldest_ms:
            retained.popitem(last=False)

    def _request_missed(
        self,
        peer: NodeId,
        recent: tuple[int, ...],
    ) -> None:
        missed = [
            sequence for sequence in recent if sequence not in self._retained
        ]
        if missed:
            self._send(
                peer, MissedUpdatesRequest(tuple(missed[:MAX_LISTED_SEQUENCES]))
            )

    def _resend(self, peer: NodeId, sequence: int) -> None:
        retained = self._retained.get(sequence)
        if retained is not None:
            self._send(peer, retained.flooded)

    def _send(
        self, peer: NodeId, message: FloodedUpdate | MissedUpdatesRequest
    ) -> None:
        self._node.events.publish(PeerSendRequested(peer, message))

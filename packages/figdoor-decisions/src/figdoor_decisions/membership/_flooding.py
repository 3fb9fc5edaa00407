"""Tells news to all nodes, each piece exactly once to each."""

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

MAX_HELD = 512
# 96 sequence numbers fit into a heartbeat of 1,200 bytes with room to spare.
MAX_LISTED = 96
# Lost warm claims only cost speed: the next permit request repairs them.
REPAIRED = (UpstreamDied, UpstreamDraining, UpstreamTurnedCold)


@dataclass(frozen=True, slots=True)
class _Held:
    """News kept for neighbours that missed it."""

    flooded: FloodedUpdate
    since_ms: float


class Flooding(Service):
    """Passes each piece of news on along every edge when it is first seen.

    News that a promise depends on is kept for ``evidence_ms``. Heartbeats
    list it until the neighbour has acknowledged, so that a neighbour that
    was cut off asks for what it missed.
    """

    def __init__(self, node: Node) -> None:
        """Follow wanted news and messages of peers."""
        self._node = node
        self._neighbours: Neighbours = node.part(
            Extension.SERVICE,
            'neighbours',
        )
        self._incarnation = node.random.getrandbits(32)
        self._counter = 0
        self._duplicates = Duplicates()
        self._held: OrderedDict[int, _Held] = OrderedDict()
        node.events.subscribe(BroadcastRequested, self._on_wanted)
        node.events.subscribe(PeerMessageReceived, self._on_message)

    def recent(self, since_ms: float) -> tuple[int, ...]:
        """Return the newest kept news seen since then, oldest first."""
        found = [
            sequence
            for sequence, held in self._held.items()
            if held.since_ms >= since_ms
        ]
        return tuple(found[-MAX_LISTED:])

    def _on_wanted(self, event: BroadcastRequested) -> None:
        # Each node that accepts a revision tells its own neighbours by a
        # heartbeat; flooding it from every node would cost n * n messages.
        if isinstance(event.update, RevisionAccepted):
            return
        self._counter += 1
        sequence = make_sequence(self._incarnation, self._counter)
        flooded = FloodedUpdate(self._node.node_id, sequence, event.update)
        self._duplicates.is_new(flooded.origin, sequence)
        self._pass_on(flooded, self._node.node_id, event.now_ms)

    def _on_message(self, event: PeerMessageReceived) -> None:
        match event.message:
            case FloodedUpdate() as flooded:
                self._take(flooded, event.sender, event.now_ms)
            case Heartbeat(recent=recent) if recent:
                self._ask_for_missed(event.sender, recent)
            case MissedUpdatesRequest(sequences):
                for sequence in sequences[:MAX_LISTED]:
                    self._resend(event.sender, sequence)

    def _take(
        self, flooded: FloodedUpdate, sender: NodeId, now_ms: float
    ) -> None:
        if self._duplicates.is_new(flooded.origin, flooded.sequence):
            self._pass_on(flooded, sender, now_ms)
            self._node.events.publish(
                UpdateReceived(flooded.origin, flooded.update, now_ms),
            )

    def _pass_on(
        self,
        flooded: FloodedUpdate,
        sender: NodeId,
        now_ms: float,
    ) -> None:
        if isinstance(flooded.update, REPAIRED):
            self._hold(flooded, now_ms)
        if isinstance(flooded.update, VmListDifference):
            # A node that only some VM lists show reads its own list whole.
            edges = self._neighbours.on_ring
        else:
            edges = self._neighbours.edges(now_ms)
        for peer in edges:
            if peer not in {sender, flooded.origin}:
                self._send(peer, flooded)

    def _hold(self, flooded: FloodedUpdate, now_ms: float) -> None:
        held = self._held
        held[flooded.sequence] = _Held(flooded, now_ms)
        oldest_ms = now_ms - self._node.options.evidence_ms
        while len(held) > MAX_HELD:
            held.popitem(last=False)
        while next(iter(held.values())).since_ms < oldest_ms:
            held.popitem(last=False)

    def _ask_for_missed(
        self,
        peer: NodeId,
        recent: tuple[int, ...],
    ) -> None:
        missed = [known for known in recent if known not in self._held]
        if missed:
            self._send(peer, MissedUpdatesRequest(tuple(missed[:MAX_LISTED])))

    def _resend(self, peer: NodeId, sequence: int) -> None:
        held = self._held.get(sequence)
        if held is not None:
            self._send(peer, held.flooded)

    def _send(
        self, peer: NodeId, message: FloodedUpdate | MissedUpdatesRequest
    ) -> None:
        self._node.events.publish(PeerSendRequested(peer, message))

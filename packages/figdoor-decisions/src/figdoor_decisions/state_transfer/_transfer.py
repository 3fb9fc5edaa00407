"""Decides whom a node that has just started asks for their state."""

from figdoor_decisions.gossip import Members
from figdoor_kernel import (
    Extension,
    Node,
    NodeId,
    Service,
    StateReceived,
    StateRequested,
    Tick,
    TransferableState,
    TransferredState,
)

# One node may have missed an update, or have cleared what it knew.
SETTLED_PEERS = 3
FIRST_INTERVAL_MS = 250.0
# Nodes that have started together have nothing to tell each other.
MAX_INTERVAL_MS = 4000.0
# Rules with a time bound hold for a node from 3 s after its start. If no peer
# has answered by then, the node goes on asking.
MAX_DURATION_MS = 20_000.0
# Updates of the time in which the others do not list this node yet are missed.
SECOND_ROUND_MS = 15_000.0
# Updates that arrive while a process does not run may be lost.
PAUSE_MS = 1000.0


class StateTransfer(Service):
    """Asks some peers for their state after the start or a pause.

    The node serves callers meanwhile. It is settled, and its own answers count
    as such, once ``SETTLED_PEERS`` settled peers have answered, or all others
    if there are fewer. If all nodes have started together, nothing is known,
    and each is settled after ``MAX_DURATION_MS``.

    Each answer is merged with what is known already, so peers may answer in
    any order, late or more than once.
    """

    def __init__(self, node: Node) -> None:
        """Subscribe to ticks and to the state of peers."""
        self._node = node
        self._members: Members = node.part(Extension.SERVICE, 'members')
        self._parts: tuple[TransferableState, ...] = node.parts(
            Extension.TRANSFERABLE_STATE,
        )
        self._begun_ms = float('-inf')
        self._last_tick_ms = float('-inf')
        self._next_ms = float('-inf')
        self._interval_ms = FIRST_INTERVAL_MS
        self._is_second_round_due = True
        self.is_settled = False
        self._asked: set[NodeId] = set()
        self._answered: set[NodeId] = set()
        node.events.subscribe(Tick, self._on_tick)
        node.events.subscribe(StateReceived, self._on_received)

    def state(self, now_ms: float) -> TransferredState:
        """Return what this node knows."""
        state = TransferredState(is_settled=self.is_settled)
        for part in self._parts:
            state = part.add_to(state, now_ms)
        return state

    def _on_tick(self, event: Tick) -> None:
        now_ms = event.now_ms
        if now_ms - self._last_tick_ms > PAUSE_MS:
            self._begin(now_ms)
        self._last_tick_ms = now_ms
        age_ms = now_ms - self._begun_ms
        if self.is_settled:
            if self._is_second_round_due and age_ms >= SECOND_ROUND_MS:
                self._is_second_round_due = False
                self._request(now_ms)
        elif age_ms > MAX_DURATION_MS:
            self.is_settled = True
        elif now_ms >= self._next_ms:
            self._request(now_ms)

    def _begin(self, now_ms: float) -> None:
        self._begun_ms = now_ms
        self._next_ms = now_ms
        self._interval_ms = FIRST_INTERVAL_MS
        self._is_second_round_due = True
        self.is_settled = False
        self._asked.clear()
        self._answered.clear()

    def _request(self, now_ms: float) -> None:
        """Ask a random peer, one that was not asked yet if there is any."""
        others = self._members.others
        if not others:
            return
        candidates = [peer for peer in others if peer not in self._asked]
        if not candidates:
            self._asked.clear()
            candidates = [peer for peer in others if peer not in self._answered]
        self._next_ms = now_ms + self._interval_ms
        self._interval_ms = min(MAX_INTERVAL_MS, 2 * self._interval_ms)
        peer = self._node.random.choice(candidates or others)
        self._asked.add(peer)
        self._node.events.publish(StateRequested(peer, now_ms))

    def _on_received(self, event: StateReceived) -> None:
        for part in self._parts:
            part.adopt(event.state, event.now_ms)
        if event.state.is_settled:
            self._answered.add(event.peer)
            self._interval_ms = FIRST_INTERVAL_MS
            self._next_ms = event.now_ms
        needed = min(SETTLED_PEERS, self._members.count - 1)
        if len(self._answered) >= needed:
            self.is_settled = True

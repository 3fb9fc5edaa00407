"""State of each neighbour, from its heartbeats and acknowledgements."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from figdoor_kernel import NodeId, Revision


@dataclass(slots=True)
class NeighbourState:
    """State of one neighbour.

    ``acked_ms`` is when the last heartbeat that it acknowledged was sent, and
    ``revision`` the revision that it reported last. ``has_stopped`` is set by
    its stop notice. A stopped neighbour still gets heartbeats: while the VM
    list cannot be read, a process that restarts on its VM learns of its peers
    only from them.
    """

    acked_ms: float | None = None
    revision: Revision = Revision(0)
    has_stopped: bool = False


@dataclass(slots=True)
class NeighbourStates:
    """States of all neighbours on the ring."""

    by_id: dict[NodeId, NeighbourState] = field(default_factory=dict)

    def set_neighbours(self, neighbours: Iterable[NodeId]) -> None:
        """Replace the neighbours; those that remain keep their state."""
        previous = self.by_id
        self.by_id = {
            peer: previous.get(peer) or NeighbourState() for peer in neighbours
        }

    def running(self) -> tuple[NeighbourState, ...]:
        """Return the neighbours that have sent no stop notice."""
        return tuple(
            state for state in self.by_id.values() if not state.has_stopped
        )

    def acknowledged(self) -> tuple[NeighbourState, ...]:
        """Return the running neighbours that acknowledged a heartbeat."""
        return tuple(
            state for state in self.running() if state.acked_ms is not None
        )

    def record_revision(self, peer: NodeId, revision: Revision) -> None:
        """Record the revision in a neighbour's heartbeat, unless it is older."""
        state = self.by_id.get(peer)
        if state is not None:
            state.revision = max(state.revision, revision)

    @property
    def quorum(self) -> int:
        """Half of the running neighbours, rounded up.

        Together with the node itself they are a majority.
        """
        return (len(self.running()) + 1) // 2

    def quorum_has(self, revision: Revision) -> bool:
        """Return whether a quorum reported this revision or a newer one."""
        holders = [
            state for state in self.running() if state.revision >= revision
        ]
        return len(holders) >= self.quorum

    def confirmed_at_ms(self) -> float | None:
        """Return the latest send time that a quorum has acknowledged.

        A neighbour without tables does not count: it may have had the newest
        revision before its process restarted.
        """
        quorum = self.quorum
        sent_ms = sorted(
            state.acked_ms or 0
            for state in self.acknowledged()
            if state.revision
        )
        if not quorum or len(sent_ms) < quorum:
            return None
        return sent_ms[-quorum]

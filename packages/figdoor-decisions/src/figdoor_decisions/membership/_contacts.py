"""What a node's neighbours have acknowledged."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from figdoor_kernel import NodeId, Revision


@dataclass(slots=True)
class Contact:
    """One neighbour: the last acknowledged heartbeat and its revision.

    ``acked_ms`` is when that heartbeat was sent. A neighbour that ``left``
    said farewell; it still gets heartbeats, because a process that restarts
    on its VM hears of its peers only by them while the VM list is down.
    """

    acked_ms: float | None = None
    revision: Revision = Revision(0)
    left: bool = False


@dataclass(slots=True)
class Contacts:
    """All neighbours on the ring."""

    by_id: dict[NodeId, Contact] = field(default_factory=dict)

    def follow(self, neighbours: Iterable[NodeId]) -> None:
        """Take a new set of neighbours; keep what is known of old ones."""
        known = self.by_id
        self.by_id = {peer: known.get(peer) or Contact() for peer in neighbours}

    def present(self) -> tuple[Contact, ...]:
        """Return the neighbours that did not say farewell."""
        return tuple(one for one in self.by_id.values() if not one.left)

    def acked(self) -> tuple[Contact, ...]:
        """Return the present neighbours that ever acknowledged."""
        return tuple(one for one in self.present() if one.acked_ms is not None)

    def confirmed_at_ms(self) -> float | None:
        """Return the latest time of sending that half have acknowledged."""
        half = (len(self.present()) + 1) // 2
        sent_ms = sorted(
            one.acked_ms for one in self.acked() if one.acked_ms is not None
        )
        if not half or len(sent_ms) < half:
            return None
        return sent_ms[-half]

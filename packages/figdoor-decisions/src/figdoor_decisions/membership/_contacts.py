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

    def note_revision(self, peer: NodeId, revision: Revision) -> None:
        """Note a revision that a neighbour told of its own accord."""
        contact = self.by_id.get(peer)
        if contact is not None:
            contact.revision = max(contact.revision, revision)

    @property
    def half(self) -> int:
        """Half of the present neighbours, with the node itself a majority."""
        return (len(self.present()) + 1) // 2

    def hold(self, revision: Revision) -> bool:
        """Return whether at least half hold this revision or a newer one."""
        holders = [one for one in self.present() if one.revision >= revision]
        return len(holders) >= self.half

    def confirmed_at_ms(self) -> float | None:
        """Return the latest time of sending that half have acknowledged.

        A neighbour that has not joined may have lost the newest revision
        with its memory, so it confirms nothing.
        """
        half = self.half
        sent_ms = sorted(
            one.acked_ms or 0 for one in self.acked() if one.revision
        )
        if not half or len(sent_ms) < half:
            return None
        return sent_ms[-half]

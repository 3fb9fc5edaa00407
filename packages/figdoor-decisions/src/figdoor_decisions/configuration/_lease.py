"""How long a node may act on its tables without confirmation."""

from figdoor_kernel import (
    Extension,
    Node,
    Refusal,
    Revision,
    RoutedCall,
    Service,
    TablesPending,
)


class ConfigLease(Service):
    """Remembers the latest point in time at which the tables were confirmed.

    A node that knows of a newer revision than the one in force gets no
    confirmation until it has accepted that revision: its tables may be
    superseded, even where other neighbours that lag behind say otherwise.
    """

    def __init__(self, node: Node) -> None:
        """Follow the tables that the node has read."""
        self._node = node
        self._lease_ms = node.options.lease_ms
        self._newer = Revision(0)
        self._newer_at_ms: float = 0
        self._held = Revision(0)
        self.confirmed_at_ms: float | None = None
        node.events.subscribe(TablesPending, self._on_held)

    @property
    def known_revision(self) -> Revision:
        """The newest revision that the node has read without findings."""
        return max(self._held, self._node.revision)

    def confirm(self, at_ms: float) -> None:
        """Note that the tables were confirmed as of ``at_ms``."""
        if self._is_superseded(at_ms):
            return
        known = self.confirmed_at_ms
        self.confirmed_at_ms = at_ms if known is None else max(known, at_ms)

    def note_newer(self, revision: Revision, now_ms: float) -> None:
        """Note that a peer has this newer revision now.

        The note is void after one lease unless a peer repeats it, so that
        one wrong message cannot stop a node for good.
        """
        if revision >= self._newer or self._is_void(now_ms):
            self._newer = revision
            self._newer_at_ms = now_ms

    def holds(self, now_ms: float) -> bool:
        """Return whether the node may act on its tables."""
        confirmed_at_ms = self.confirmed_at_ms
        if confirmed_at_ms is None:
            return False
        return now_ms - confirmed_at_ms <= self._lease_ms

    def _on_held(self, event: TablesPending) -> None:
        self._held = event.tables.revision

    def _is_superseded(self, at_ms: float) -> bool:
        own = self._node.revision
        if own and self._held > own:
            return True
        return self._newer > own and not self._is_void(at_ms)

    def _is_void(self, now_ms: float) -> bool:
        return now_ms - self._newer_at_ms > self._lease_ms


class LeaseRule:
    """Refuses all work while the lease does not hold."""

    def __init__(self, node: Node) -> None:
        """Use the node's lease."""
        self._lease: ConfigLease = node.part(Extension.SERVICE, 'config-lease')

    def admit(
        self,
        routed: RoutedCall,
        attempts_made: int,
        now_ms: float,
    ) -> Refusal | None:
        """Refuse once the lease has run out."""
        if self._lease.holds(now_ms):
            return None
        return Refusal.LEASE_EXPIRED

    def unready_reason(self, now_ms: float) -> str | None:
        """Want no callers either while all work is refused."""
        if self._lease.holds(now_ms):
            return None
        return 'tables not confirmed lately'

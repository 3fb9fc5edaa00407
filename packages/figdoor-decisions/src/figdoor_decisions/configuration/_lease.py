"""The time for which a node may use its tables without confirmation."""

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
    """Keeps the latest time as of which the tables were confirmed.

    A node that knows of a newer revision than the one in force cannot renew
    its lease until it has accepted that revision: its tables may be superseded,
    even if neighbours that lag behind acknowledge them.
    """

    def __init__(self, node: Node) -> None:
        """Subscribe to tables that the node has read."""
        self._node = node
        self._lease_ms = node.options.lease_ms
        self._newer_revision = Revision(0)
        self._newer_at_ms: float = 0
        self._pending_revision = Revision(0)
        self.confirmed_at_ms: float | None = None
        node.events.subscribe(TablesPending, self._on_tables_pending)

    @property
    def known_revision(self) -> Revision:
        """The newest revision that the node has read without findings."""
        return max(self._pending_revision, self._node.revision)

    def confirm(self, at_ms: float) -> None:
        """Renew the lease as of ``at_ms``, unless the tables are superseded."""
        if self._is_superseded(at_ms):
            return
        previous_ms = self.confirmed_at_ms
        self.confirmed_at_ms = (
            at_ms if previous_ms is None else max(previous_ms, at_ms)
        )

    def record_newer(self, revision: Revision, now_ms: float) -> None:
        """Record that a peer has this newer revision.

        The record expires after one lease unless a peer repeats it, so that a
        single wrong message cannot stop the node for good.
        """
        if revision >= self._newer_revision or self._has_newer_expired(now_ms):
            self._newer_revision = revision
            self._newer_at_ms = now_ms

    def holds(self, now_ms: float) -> bool:
        """Return whether the node may use its tables."""
        confirmed_at_ms = self.confirmed_at_ms
        if confirmed_at_ms is None:
            return False
        return now_ms - confirmed_at_ms <= self._lease_ms

    def _on_tables_pending(self, event: TablesPending) -> None:
        self._pending_revision = event.tables.revision

    def _is_superseded(self, at_ms: float) -> bool:
        own = self._node.revision
        if own and self._pending_revision > own:
            return True
        return self._newer_revision > own and not self._has_newer_expired(at_ms)

    def _has_newer_expired(self, now_ms: float) -> bool:
        return now_ms - self._newer_at_ms > self._lease_ms


class LeaseRule:
    """Refuses all calls while the config lease has expired."""

    def __init__(self, node: Node) -> None:
        """Look up the config lease of the node."""
        self._lease: ConfigLease = node.part(Extension.SERVICE, 'config-lease')

    def admit(
        self,
        routed: RoutedCall,
        attempts_made: int,
        now_ms: float,
    ) -> Refusal | None:
        """Refuse the call if the lease has expired."""
        if self._lease.holds(now_ms):
            return None
        return Refusal.LEASE_EXPIRED

    def unready_reason(self, now_ms: float) -> str | None:
        """Return a reason while all calls are refused."""
        if self._lease.holds(now_ms):
            return None
        return 'tables not confirmed lately'

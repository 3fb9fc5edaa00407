"""How long a node may act on its tables without confirmation."""

from figdoor_kernel import (
    Extension,
    Node,
    Refusal,
    Revision,
    RoutedCall,
    Service,
    ServiceConfirmed,
)


class ConfigLease(Service):
    """Remembers the latest point in time at which the tables were confirmed.

    A read of the service confirms the time at which it began, so that an
    answer that a paused process finds in its buffers proves nothing new. A
    node that knows of a newer revision than its own gets no confirmation
    until it has accepted that revision: its tables are superseded, even where
    a stale service or other neighbours that lag behind say otherwise.
    """

    def __init__(self, node: Node) -> None:
        """Follow confirmations of the service."""
        self._node = node
        self._lease_ms = node.options.lease_ms
        self._newer = Revision(0)
        self._newer_at_ms: float = 0
        self._probation_since_ms: float | None = None
        self._last_service_ms: float = 0
        self.confirmed_at_ms: float | None = None
        node.events.subscribe(ServiceConfirmed, self._on_confirmed)

    def confirm(self, at_ms: float) -> None:
        """Note that the tables were confirmed as of ``at_ms``."""
        if self._is_superseded(at_ms):
            return
        known = self.confirmed_at_ms
        self._probation_since_ms = None
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

    def _on_confirmed(self, event: ServiceConfirmed) -> None:
        if event.revision < self._own_revision():
            return
        read_ms = event.read_started_ms
        if self.holds(read_ms) or self._has_passed_probation(read_ms):
            self.confirm(read_ms)

    def _has_passed_probation(self, read_ms: float) -> bool:
        """Tell whether the service alone may renew a lease that ran out.

        The first lease is free of this: the start rule has held the tables
        back until the neighbours had their say.

        The service can be stale, and what the other nodes accepted meanwhile
        shows only in their answers. So they get the time that a starting node
        gives them, during which the service must go on confirming.
        """
        if self.confirmed_at_ms is None or len(self._node.fleet.nodes()) <= 1:
            return True
        gap_ms = read_ms - self._last_service_ms
        self._last_service_ms = read_ms
        if self._probation_since_ms is None or gap_ms > self._lease_ms:
            self._probation_since_ms = read_ms
        waited_ms = read_ms - self._probation_since_ms
        return waited_ms >= self._node.options.join_timeout_ms

    def _own_revision(self) -> Revision:
        tables = self._node.tables
        return tables.revision if tables else Revision(0)

    def _is_superseded(self, at_ms: float) -> bool:
        return self._newer > self._own_revision() and not self._is_void(at_ms)

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

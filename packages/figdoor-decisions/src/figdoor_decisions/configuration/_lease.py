"""How long a node may act on its tables without confirmation."""

from figdoor_kernel import (
    Extension,
    Node,
    Refusal,
    RoutedCall,
    ServiceConfirmed,
)


class ConfigLease:
    """Remembers the latest point in time at which the tables were confirmed.

    A read of the service confirms the time at which it began, so that an
    answer that a paused process finds in its buffers proves nothing new.
    """

    def __init__(self, node: Node) -> None:
        """Follow confirmations of the service."""
        self._lease_ms = node.options.lease_ms
        self.confirmed_at_ms: float | None = None
        node.events.subscribe(ServiceConfirmed, self._on_confirmed)

    def start(self) -> None:
        """Need no start."""

    def stop(self) -> None:
        """Need no stop."""

    def confirm(self, at_ms: float) -> None:
        """Note that the tables were confirmed as of ``at_ms``."""
        known = self.confirmed_at_ms
        self.confirmed_at_ms = at_ms if known is None else max(known, at_ms)

    def holds(self, now_ms: float) -> bool:
        """Return whether the node may act on its tables."""
        confirmed_at_ms = self.confirmed_at_ms
        if confirmed_at_ms is None:
            return False
        return now_ms - confirmed_at_ms <= self._lease_ms

    def _on_confirmed(self, event: ServiceConfirmed) -> None:
        self.confirm(event.read_started_ms)


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

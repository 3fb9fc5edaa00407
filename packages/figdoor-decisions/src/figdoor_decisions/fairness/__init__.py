"""Equal treatment of tenants while upstreams have no room."""

from figdoor_decisions.fairness._waiting import WaitingShares
from figdoor_kernel import Extension, Registry

__all__ = ('WaitingShares', 'register')


def register(registry: Registry) -> None:
    """Provide the shares of the waiting calls."""
    registry.provide(Extension.LOAD_PROBER, 'waiting-shares', WaitingShares)

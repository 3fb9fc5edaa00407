"""Which node is the home node of an upstream, and when it may act as one."""

from figdoor_decisions.homes._homes import PERMIT_VALID_MS, Homes
from figdoor_kernel import Extension, Registry

__all__ = ('PERMIT_VALID_MS', 'Homes', 'register')


def register(registry: Registry) -> None:
    """Provide the assignment of home nodes."""
    registry.provide(Extension.SERVICE, 'homes', Homes)

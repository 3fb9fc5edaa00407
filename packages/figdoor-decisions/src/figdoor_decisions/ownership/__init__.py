"""Assigns an owner node to each upstream and decides when it may act."""

from figdoor_decisions.ownership._ownership import PERMIT_VALID_MS, Ownership
from figdoor_kernel import Extension, Registry

__all__ = ('PERMIT_VALID_MS', 'Ownership', 'register')


def register(registry: Registry) -> None:
    """Provide the assignment of owners."""
    registry.provide(Extension.SERVICE, 'homes', Ownership)

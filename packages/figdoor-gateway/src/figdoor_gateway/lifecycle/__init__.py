"""Starts, watches over and stops a node."""

from figdoor_gateway.lifecycle._lifecycle import Lifecycle
from figdoor_gateway.lifecycle._readiness import Readiness
from figdoor_kernel import Extension, Registry

__all__ = ('Lifecycle', 'Readiness', 'register')


def register(registry: Registry) -> None:
    """Provide readiness and the life cycle."""
    registry.provide(Extension.SERVICE, 'readiness', Readiness)
    registry.provide(Extension.SERVICE, 'lifecycle', Lifecycle)

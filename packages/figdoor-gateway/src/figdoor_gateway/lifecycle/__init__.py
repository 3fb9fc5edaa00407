"""Starts, watches over and stops a node."""

from figdoor_gateway.lifecycle._lifecycle import Lifecycle
from figdoor_gateway.lifecycle._readiness import Readiness
from figdoor_gateway.lifecycle._reloading import SettingsReload
from figdoor_kernel import Extension, Registry

__all__ = ('Lifecycle', 'Readiness', 'SettingsReload', 'register')


def register(registry: Registry) -> None:
    """Provide readiness, the life cycle and the reload of settings."""
    registry.provide(Extension.SERVICE, 'readiness', Readiness)
    registry.provide(Extension.SERVICE, 'lifecycle', Lifecycle)
    registry.provide(Extension.SERVICE, 'settings-reload', SettingsReload)

"""Starts a node, tracks its readiness, reloads settings and stops it."""

from figdoor_gateway.lifecycle._lifecycle import Lifecycle
from figdoor_gateway.lifecycle._readiness import Readiness
from figdoor_gateway.lifecycle._reloading import SettingsReloader
from figdoor_kernel import Extension, Registry

__all__ = ('Lifecycle', 'Readiness', 'SettingsReloader', 'register')


def register(registry: Registry) -> None:
    """Provide readiness, lifecycle and the reload of settings as services."""
    registry.provide(Extension.SERVICE, 'readiness', Readiness)
    registry.provide(Extension.SERVICE, 'lifecycle', Lifecycle)
    registry.provide(Extension.SERVICE, 'settings-reload', SettingsReloader)

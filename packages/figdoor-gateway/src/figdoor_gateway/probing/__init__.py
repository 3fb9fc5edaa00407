"""Sends the probes that decision plug-ins request."""

from figdoor_gateway.probing._health_probes import HealthProbes
from figdoor_gateway.probing._load_probes import LoadProbes
from figdoor_kernel import Extension, Registry

__all__ = ('LoadProbes', 'HealthProbes', 'register', 'register_health_probes')


def register(registry: Registry) -> None:
    """Register load probes over connections of their own."""
    registry.provide(Extension.SERVICE, 'load-probes', LoadProbes)


def register_health_probes(registry: Registry) -> None:
    """Register health probes over the connections that carry requests."""
    registry.provide(Extension.SERVICE, 'health-probes', HealthProbes)

"""Sends the probes that the measuring policy asks for."""

from figdoor_gateway.probing._load_probes import LoadProbes
from figdoor_kernel import Extension, Registry

__all__ = ('LoadProbes', 'register')


def register(registry: Registry) -> None:
    """Provide the sender of probes."""
    registry.provide(Extension.SERVICE, 'load-probes', LoadProbes)

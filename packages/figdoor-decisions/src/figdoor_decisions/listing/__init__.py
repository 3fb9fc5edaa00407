"""The VM list in use, and its update from one version to the next."""

from figdoor_decisions.listing._lists import VmListRead, VmLists
from figdoor_kernel import Extension, Registry

__all__ = ('VmListRead', 'VmLists', 'register')


def register(registry: Registry) -> None:
    """Provide the service that keeps the VM list up to date."""
    registry.provide(Extension.SERVICE, 'vm-lists', VmLists)

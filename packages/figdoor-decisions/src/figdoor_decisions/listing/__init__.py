"""Which version of the VM list a node uses, and how it gets there."""

from figdoor_decisions.listing._lists import VmListRead, VmLists
from figdoor_kernel import Extension, Registry

__all__ = ('VmListRead', 'VmLists', 'register')


def register(registry: Registry) -> None:
    """Provide the VM lists."""
    registry.provide(Extension.SERVICE, 'vm-lists', VmLists)

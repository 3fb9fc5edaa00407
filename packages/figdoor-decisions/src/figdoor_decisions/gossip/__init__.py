"""Which nodes run, and how they keep each other informed.

Nodes find each other from a few seed addresses. Few of them read the store;
they pass on what has changed, and the others read for themselves as soon as
nobody confirms what they know.
"""

from figdoor_decisions.gossip._members import Members, fleet_size
from figdoor_decisions.gossip._relay import Relay
from figdoor_decisions.gossip._roles import StoreReaders
from figdoor_kernel import Extension, Registry

__all__ = ('Members', 'Relay', 'StoreReaders', 'fleet_size', 'register')


def register(registry: Registry) -> None:
    """Provide the members, the readers' role and the relay."""
    registry.provide(Extension.SERVICE, 'members', Members)
    registry.provide(Extension.SERVICE, 'store-readers', StoreReaders)
    registry.provide(Extension.SERVICE, 'relay', Relay)

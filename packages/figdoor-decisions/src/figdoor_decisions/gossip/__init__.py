"""Membership by gossip, and the distribution of items from the store.

Nodes find each other by a few seed addresses. One of them reads the store and
pushes changes to the others. A node whose items nobody confirms any more reads
the store itself, the standbys of the reader before the others.
"""

from figdoor_decisions.gossip._delegates import ZoneDelegates
from figdoor_decisions.gossip._members import (
    GROWTH_MARGIN,
    Members,
    fleet_size,
)
from figdoor_decisions.gossip._ranking import rank_key
from figdoor_decisions.gossip._relay import Relay
from figdoor_decisions.gossip._roles import StoreReaders
from figdoor_decisions.gossip._sharing import MemberSharing
from figdoor_kernel import Extension, Registry

__all__ = (
    'GROWTH_MARGIN',
    'Members',
    'Relay',
    'StoreReaders',
    'ZoneDelegates',
    'fleet_size',
    'rank_key',
    'register',
)


def register(registry: Registry) -> None:
    """Provide the members, their roles, what they share, and the relay."""
    registry.provide(Extension.SERVICE, 'sharing', MemberSharing)
    registry.provide(Extension.SERVICE, 'members', Members)
    registry.provide(Extension.SERVICE, 'store-readers', StoreReaders)
    registry.provide(Extension.SERVICE, 'zone-delegates', ZoneDelegates)
    registry.provide(Extension.SERVICE, 'relay', Relay)

"""Neighbours of a node, heartbeats to them, and the flooding of updates."""

from figdoor_decisions.membership._flooding import Flooding
from figdoor_decisions.membership._heartbeats import Heartbeats
from figdoor_decisions.membership._joining import JoinRule
from figdoor_decisions.membership._neighbours import Neighbours
from figdoor_decisions.membership._ring import neighbours_of
from figdoor_kernel import Extension, Registry

__all__ = (
    'Flooding',
    'Heartbeats',
    'JoinRule',
    'Neighbours',
    'neighbours_of',
    'register',
    'register_flooding',
)


def register(registry: Registry) -> None:
    """Provide neighbours, flooding, heartbeats and the start rule."""
    registry.provide(Extension.SERVICE, 'neighbours', Neighbours)
    registry.provide(Extension.SERVICE, 'flooding', Flooding)
    registry.provide(Extension.SERVICE, 'heartbeats', Heartbeats)
    registry.provide(Extension.SERVICE, 'start-rule', JoinRule)


def register_flooding(registry: Registry) -> None:
    """Provide only neighbours and flooding, for nodes that read a store."""
    registry.provide(Extension.SERVICE, 'neighbours', Neighbours)
    registry.provide(Extension.SERVICE, 'flooding', Flooding)

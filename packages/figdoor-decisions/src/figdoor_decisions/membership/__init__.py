"""Which nodes a node talks to, and how news reaches all of them."""

from figdoor_decisions.membership._flooding import Flooding
from figdoor_decisions.membership._heartbeats import Heartbeats
from figdoor_decisions.membership._joining import Joining
from figdoor_decisions.membership._neighbours import Neighbours
from figdoor_decisions.membership._ring import neighbours_of
from figdoor_kernel import Extension, Registry

__all__ = (
    'Flooding',
    'Heartbeats',
    'Joining',
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
    registry.provide(Extension.SERVICE, 'start-rule', Joining)


def register_flooding(registry: Registry) -> None:
    """Provide neighbours and flooding alone."""
    registry.provide(Extension.SERVICE, 'neighbours', Neighbours)
    registry.provide(Extension.SERVICE, 'flooding', Flooding)

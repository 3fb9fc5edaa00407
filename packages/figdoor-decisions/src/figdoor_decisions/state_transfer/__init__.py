"""Transfer of what nodes have learned to a node that has just started."""

from figdoor_decisions.state_transfer._transfer import StateTransfer
from figdoor_kernel import Extension, Registry

__all__ = ('StateTransfer', 'register')


def register(registry: Registry) -> None:
    """Provide the transfer."""
    registry.provide(Extension.SERVICE, 'state-transfer', StateTransfer)

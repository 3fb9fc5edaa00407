"""A structured log of each call and of each change of the node's state."""

from figdoor_gateway.decision_log._log import DecisionLog
from figdoor_kernel import Extension, Registry

__all__ = ('DecisionLog', 'register')


def register(registry: Registry) -> None:
    """Provide the log as a service."""
    registry.provide(Extension.SERVICE, 'decision-log', DecisionLog)

"""Graceful stop of a node, which lets running requests finish."""

from figdoor_decisions.stopping._plan import StopPhase, StopPlan
from figdoor_kernel import Extension, Registry

__all__ = ('StopPhase', 'StopPlan', 'register')


def register(registry: Registry) -> None:
    """Provide the stop plan."""
    registry.provide(Extension.SERVICE, 'stop-plan', StopPlan)

"""How a node stops without cutting a request."""

from figdoor_decisions.stopping._plan import StopPhase, StopPlan
from figdoor_kernel import Extension, Registry

__all__ = ('StopPhase', 'StopPlan', 'register')


def register(registry: Registry) -> None:
    """Provide the plan as a service."""
    registry.provide(Extension.SERVICE, 'stop-plan', StopPlan)

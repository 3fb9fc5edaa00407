"""Graceful stop of a node, which lets running requests finish."""

from figdoor_decisions.stopping._admission import StopAdmission
from figdoor_decisions.stopping._plan import StopPhase, StopPlan
from figdoor_kernel import Extension, Registry

__all__ = ('StopAdmission', 'StopPhase', 'StopPlan', 'register')


def register(registry: Registry) -> None:
    """Provide the stop plan, and the calls that it still admits."""
    registry.provide(Extension.SERVICE, 'stop-plan', StopPlan)
    registry.provide(Extension.ADMISSION_RULE, 'stopping', StopAdmission)

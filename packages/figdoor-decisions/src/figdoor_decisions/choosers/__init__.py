"""Policies that select one upstream among those that every rule allows."""

from figdoor_decisions.choosers._adaptive import Adaptive
from figdoor_decisions.choosers._baselines import (
    LeastRequests,
    PowerOfTwo,
    RandomChoice,
    RoundRobin,
)
from figdoor_kernel import Extension, Registry

__all__ = (
    'Adaptive',
    'LeastRequests',
    'PowerOfTwo',
    'RandomChoice',
    'RoundRobin',
    'register',
)


def register(registry: Registry) -> None:
    """Provide the baseline policies and the adaptive policy."""
    registry.provide(Extension.CHOOSER, 'random', RandomChoice)
    registry.provide(Extension.CHOOSER, 'round-robin', RoundRobin)
    registry.provide(Extension.CHOOSER, 'least-requests', LeastRequests)
    registry.provide(Extension.CHOOSER, 'power-of-two', PowerOfTwo)
    registry.provide(Extension.CHOOSER, 'adaptive', Adaptive)

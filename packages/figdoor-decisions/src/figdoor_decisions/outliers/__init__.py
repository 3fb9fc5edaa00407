"""Keeps calls away from upstreams that fail fast or take no connection."""

from figdoor_decisions.outliers._ejection import (
    OutlierEjection,
    ejectable,
)
from figdoor_decisions.outliers._refused import RefusedConnections
from figdoor_kernel import Extension, Registry

__all__ = ('OutlierEjection', 'RefusedConnections', 'ejectable', 'register')


def register(registry: Registry) -> None:
    """Provide the ejection and the back-off."""
    registry.provide(
        Extension.CANDIDATE_RULE,
        'outlier-ejection',
        OutlierEjection,
    )
    registry.provide(
        Extension.CANDIDATE_RULE,
        'refused-connections',
        RefusedConnections,
    )

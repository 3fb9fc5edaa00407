"""Keeps calls away from upstreams that fail fast."""

from figdoor_decisions.outliers._ejection import (
    OutlierEjection,
    ejectable,
)
from figdoor_kernel import Extension, Registry

__all__ = ('OutlierEjection', 'ejectable', 'register')


def register(registry: Registry) -> None:
    """Provide the ejection of failing upstreams."""
    registry.provide(
        Extension.CANDIDATE_RULE,
        'outlier-ejection',
        OutlierEjection,
    )

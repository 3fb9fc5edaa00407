"""Rules against upstreams that fail fast, refuse connections or want a pause."""

from figdoor_decisions.outliers._ejection import (
    OutlierEjection,
    max_ejected,
)
from figdoor_decisions.outliers._refused import RefusedConnections
from figdoor_decisions.outliers._requested import RequestedBackoff
from figdoor_kernel import Extension, Registry

__all__ = (
    'OutlierEjection',
    'RefusedConnections',
    'RequestedBackoff',
    'max_ejected',
    'register',
)


def register(registry: Registry) -> None:
    """Provide the ejection and both back-offs."""
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
    registry.provide(
        Extension.CANDIDATE_RULE,
        'requested-backoff',
        RequestedBackoff,
    )

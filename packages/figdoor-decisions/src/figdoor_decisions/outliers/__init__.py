"""Rules against upstreams that fail fast or refuse connections."""

from figdoor_decisions.outliers._ejection import (
    OutlierEjection,
    max_ejected,
)
from figdoor_decisions.outliers._refused import RefusedConnections
from figdoor_kernel import Extension, Registry

__all__ = ('OutlierEjection', 'RefusedConnections', 'max_ejected', 'register')


def register(registry: Registry) -> None:
    """Provide the ejection and the connection back-off."""
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

"""Metrics for operators, in Prometheus' text format."""

from figdoor_gateway.metrics._metrics import Metrics
from figdoor_kernel import Extension, Registry

__all__ = ('Metrics', 'register')


def register(registry: Registry) -> None:
    """Provide the metrics as a service."""
    registry.provide(Extension.SERVICE, 'metrics', Metrics)

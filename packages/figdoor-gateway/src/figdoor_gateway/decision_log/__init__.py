"""Structured lines that explain each request and each change of belief."""

from figdoor_gateway.decision_log._log import DecisionLog
from figdoor_kernel import Extension, Registry

__all__ = ('DecisionLog', 'register')


def register(registry: Registry) -> None:
    """Provide the log."""
    registry.provide(Extension.SERVICE, 'decision-log', DecisionLog)

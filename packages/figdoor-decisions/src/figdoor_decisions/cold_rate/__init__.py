"""Limits the rate of requests to upstreams in a cold start."""

from figdoor_decisions.cold_rate._rule import ColdRateRule, send_interval_ms
from figdoor_kernel import Extension, Registry

__all__ = ('ColdRateRule', 'register', 'send_interval_ms')


def register(registry: Registry) -> None:
    """Provide the candidate rule."""
    registry.provide(Extension.CANDIDATE_RULE, 'cold-rate', ColdRateRule)

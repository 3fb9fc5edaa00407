"""Bounds the rate of requests to upstreams in a cold start."""

from figdoor_decisions.cold_rate._rule import ColdRateRule, share_interval_ms
from figdoor_kernel import Extension, Registry

__all__ = ('ColdRateRule', 'register', 'share_interval_ms')


def register(registry: Registry) -> None:
    """Provide the rule."""
    registry.provide(Extension.CANDIDATE_RULE, 'cold-rate', ColdRateRule)

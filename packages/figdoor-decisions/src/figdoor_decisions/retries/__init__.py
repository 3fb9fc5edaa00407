"""Limits second and later attempts."""

from figdoor_decisions.retries._rules import DeadlineRule, RetryBudget
from figdoor_kernel import Extension, Registry

__all__ = ('DeadlineRule', 'RetryBudget', 'register')


def register(registry: Registry) -> None:
    """Provide the retry budget and the deadline rule."""
    registry.provide(Extension.RETRY_RULE, 'budget', RetryBudget)
    registry.provide(Extension.ADMISSION_RULE, 'deadline', DeadlineRule)

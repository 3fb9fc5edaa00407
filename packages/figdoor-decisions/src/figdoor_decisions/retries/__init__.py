"""Limits second and later attempts."""

from figdoor_decisions.retries._rules import DeadlineRule, RetryBudget
from figdoor_decisions.retries._time_left import TimeLeftRule
from figdoor_kernel import Extension, Registry

__all__ = ('DeadlineRule', 'RetryBudget', 'TimeLeftRule', 'register')


def register(registry: Registry) -> None:
    """Provide the retry budget and both rules about the time left."""
    registry.provide(Extension.RETRY_RULE, 'budget', RetryBudget)
    registry.provide(Extension.ADMISSION_RULE, 'deadline', DeadlineRule)
    registry.provide(Extension.ADMISSION_RULE, 'time-left', TimeLeftRule)

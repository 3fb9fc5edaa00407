"""Rules about retries, hedging and the time left for an attempt."""

from figdoor_decisions.retries._advice import SpreadAdvice
from figdoor_decisions.retries._fleet_budget import FleetRetryBudget
from figdoor_decisions.retries._hedging import SlowAnswerHedge
from figdoor_decisions.retries._latencies import RouteLatencies
from figdoor_decisions.retries._rules import DeadlineRule, RetryBudget
from figdoor_decisions.retries._time_left import TimeLeftRule
from figdoor_kernel import Extension, Registry

__all__ = (
    'SlowAnswerHedge',
    'DeadlineRule',
    'RetryBudget',
    'RouteLatencies',
    'TimeLeftRule',
    'register',
    'FleetRetryBudget',
    'SpreadAdvice',
    'register_route_budget',
    'register_fleet_budget',
)


def register(registry: Registry) -> None:
    """Provide the latencies of routes, and two rules about the time left."""
    registry.provide(Extension.SERVICE, 'route-latencies', RouteLatencies)
    registry.provide(Extension.ADMISSION_RULE, 'deadline', DeadlineRule)
    registry.provide(Extension.ADMISSION_RULE, 'time-left', TimeLeftRule)


def register_route_budget(registry: Registry) -> None:
    """Provide the retry budget per route and node."""
    registry.provide(Extension.RETRY_RULE, 'budget', RetryBudget)


def register_fleet_budget(registry: Registry) -> None:
    """Provide the fleet-wide retry budget, hedging and retry advice."""
    registry.provide(Extension.RETRY_RULE, 'fleet-budget', FleetRetryBudget)
    registry.provide(Extension.HEDGE_RULE, 'slow-answer', SlowAnswerHedge)
    registry.provide(Extension.RETRY_ADVICE, 'spread', SpreadAdvice)

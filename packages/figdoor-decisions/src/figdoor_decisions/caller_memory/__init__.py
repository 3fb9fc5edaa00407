"""Limits on the memory and connections that a node keeps for callers."""

from figdoor_decisions.caller_memory._account import CallerAccount
from figdoor_decisions.caller_memory._budget import (
    CONNECTION_BYTES,
    SMALL_BYTES,
    CallerBudget,
    caller_budget,
)
from figdoor_decisions.caller_memory._choice import (
    CallerAction,
    CallerPhase,
    CallerUse,
    Eviction,
    choose_connections,
    choose_evictions,
)
from figdoor_kernel import Extension, Registry

__all__ = (
    'CONNECTION_BYTES',
    'SMALL_BYTES',
    'CallerAccount',
    'CallerAction',
    'CallerBudget',
    'CallerPhase',
    'CallerUse',
    'Eviction',
    'caller_budget',
    'choose_connections',
    'choose_evictions',
    'register',
)


def register(registry: Registry) -> None:
    """Provide the account of the bytes that are held for callers."""
    registry.provide(Extension.SERVICE, 'caller-account', CallerAccount)

"""Schedules the reads of the platform within limits for the whole fleet."""

from figdoor_decisions.reading._plan import PlannedTablesRead, ReadingPlan
from figdoor_decisions.reading._watchers import is_watcher
from figdoor_kernel import Extension, Registry

__all__ = ('ReadingPlan', 'PlannedTablesRead', 'is_watcher', 'register')


def register(registry: Registry) -> None:
    """Provide the plan of reads."""
    registry.provide(Extension.SERVICE, 'reading-plan', ReadingPlan)

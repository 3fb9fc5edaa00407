"""When a node reads the platform, within a bound for the whole fleet."""

from figdoor_decisions.reading._holders import holds_watch
from figdoor_decisions.reading._plan import ReadingPlan, TablesRead
from figdoor_kernel import Extension, Registry

__all__ = ('ReadingPlan', 'TablesRead', 'holds_watch', 'register')


def register(registry: Registry) -> None:
    """Provide the plan."""
    registry.provide(Extension.SERVICE, 'reading-plan', ReadingPlan)

"""Header names and rules that callers' and upstreams' sides share."""

from figdoor_gateway.headers._dialect import FigdoorDialect
from figdoor_gateway.headers._headers import (
    ATTEMPT,
    DEADLINE,
    INNER_OUTCOME,
    LOAD,
    OUTCOME,
    OWN_PREFIX,
    REASON,
    SHED,
    end_to_end,
    read_load_report,
    read_time_left_ms,
)
from figdoor_kernel import Extension, Node, Registry

__all__ = (
    'FigdoorDialect',
    'register',
    'ATTEMPT',
    'DEADLINE',
    'INNER_OUTCOME',
    'LOAD',
    'OUTCOME',
    'OWN_PREFIX',
    'REASON',
    'SHED',
    'end_to_end',
    'read_load_report',
    'read_time_left_ms',
)


def register(registry: Registry) -> None:
    """Provide figdoor's own dialect."""
    registry.provide(Extension.DIALECT, 'figdoor', _make_dialect)


def _make_dialect(node: Node) -> FigdoorDialect:
    return FigdoorDialect()

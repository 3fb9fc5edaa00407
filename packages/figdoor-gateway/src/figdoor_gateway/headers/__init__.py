"""Header names and rules shared by the caller side and the upstream side."""

from figdoor_gateway.headers._dialect import FigdoorDialect
from figdoor_gateway.headers._headers import (
    ATTEMPT,
    AUTHORIZATION,
    DEADLINE,
    INNER_OUTCOME,
    LOAD,
    OUTCOME,
    OWN_PREFIX,
    REASON,
    SHED,
    TENANT,
    end_to_end,
    read_bearer_key,
    read_load_report,
    read_time_left_ms,
)
from figdoor_kernel import Extension, Node, Registry

__all__ = (
    'FigdoorDialect',
    'register',
    'ATTEMPT',
    'AUTHORIZATION',
    'DEADLINE',
    'INNER_OUTCOME',
    'LOAD',
    'OUTCOME',
    'OWN_PREFIX',
    'REASON',
    'SHED',
    'TENANT',
    'end_to_end',
    'read_bearer_key',
    'read_load_report',
    'read_time_left_ms',
)


def register(registry: Registry) -> None:
    """Register figdoor's own dialect."""
    registry.provide(Extension.DIALECT, 'figdoor', _make_dialect)


def _make_dialect(node: Node) -> FigdoorDialect:
    return FigdoorDialect()

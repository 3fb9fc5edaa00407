"""Header names and rules that callers' and upstreams' sides share."""

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
)

__all__ = (
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
)

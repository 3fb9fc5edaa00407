"""Shared by the benchmarks that start real processes."""

from statistics import median

SLOTS = 200
ROUTES = """
route, authority, path_prefix, operations, pool, idempotent, tenant, deadline_ms, retry_percent
work,  *,         /,           GET POST,   work, GET,   all,    5000,        20
"""
POOLS = f"""
pool, service, availability_zones, slots, connections, cold_limit, probes_per_s
*,    ,        z1,                 ,      ,            ,
work, work,    z1,                 {SLOTS},  250,      {SLOTS},    1
"""


def describe(values, digits=2):
    """Return median and spread."""
    low, high = min(values), max(values)
    return (
        f'{median(values):.{digits}f} ({low:.{digits}f} to {high:.{digits}f})'
    )

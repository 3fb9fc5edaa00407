"""Reader and validator of the routes, pools and tenants tables."""

from figdoor_tables._columns import (
    POOL_COLUMNS,
    ROUTE_COLUMNS,
    TENANT_COLUMNS,
    Column,
)
from figdoor_tables._differences import Change, apply_changes, difference
from figdoor_tables._reading import (
    POOLS_TABLE,
    ROUTES_TABLE,
    TENANTS_TABLE,
    ReadTables,
    TablesReader,
    read_tables,
)

__all__ = (
    'POOLS_TABLE',
    'POOL_COLUMNS',
    'ROUTES_TABLE',
    'ROUTE_COLUMNS',
    'TENANTS_TABLE',
    'TENANT_COLUMNS',
    'Change',
    'Column',
    'ReadTables',
    'TablesReader',
    'apply_changes',
    'difference',
    'read_tables',
)

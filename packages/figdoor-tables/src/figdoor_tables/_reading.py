"""Reader of the tables; any finding refuses all of them."""

from collections.abc import Iterable, Mapping
from operator import itemgetter
from typing import Any

from returns.result import Failure, Result, Success

from figdoor_kernel import (
    ANY,
    AvailabilityZoneName,
    Finding,
    KeyDigest,
    Pool,
    PoolName,
    Revision,
    Route,
    RouteName,
    ServiceName,
    Tables,
    Tenant,
    TenantName,
)
from figdoor_tables._columns import (
    POOL_COLUMNS,
    ROUTE_COLUMNS,
    TENANT_COLUMNS,
)
from figdoor_tables._rows import ParsedTable, Row, RowReader

ROUTES_TABLE = 'routes'
POOLS_TABLE = 'pools'
TENANTS_TABLE = 'tenants'
_TENANT_HEADER_PREFIX = 'header:'

ReadTables = Result[Tables, tuple[Finding, ...]]


class TablesReader:
    """Reads versions of the tables and parses only the rows that changed.

    The tenants table is optional: an empty text means that there is none.
    """

    def __init__(self) -> None:
        """Create a reader without a previous version."""
        self._routes = RowReader(ROUTES_TABLE, ROUTE_COLUMNS)
        self._pools = RowReader(POOLS_TABLE, POOL_COLUMNS)
        self._tenants = RowReader(TENANTS_TABLE, TENANT_COLUMNS)
        self._built: dict[int, tuple[Mapping[str, Any], Route]] = {}

    def read(
        self,
        revision: Revision,
        routes_text: str,
        pools_text: str,
        tenants_text: str = '',
    ) -> ReadTables:
        """Return the tables as typed values, or all findings about them."""
        routes = self._routes.read(routes_text)
        pools = self._pools.read(pools_text)
        tenants = ParsedTable(TENANTS_TABLE)
        if tenants_text:
            tenants = self._tenants.read(tenants_text)
        _check_pools(pools)
        _check_routes(routes, pools)
        _check_tenants(tenants)
        findings = (*routes.findings, *pools.findings, *tenants.findings)
        if findings:
            return Failure(findings)
        fleet_zones = _fleet_zones(pools.rows)
        by_name = {
            PoolName(row.cells['pool']): _build_pool(row, fleet_zones)
            for row in pools.rows
            if not row.is_fleet_row
        }
        return Success(
            Tables(
                revision,
                self._build_routes(routes.rows),
                by_name,
                fleet_zones,
                routes_text,
                pools_text,
                tenants=_build_tenants(tenants.rows),
                needs_key=bool(tenants_text),
                tenants_text=tenants_text,
            ),
        )

    def _build_routes(self, rows: Iterable[Row]) -> tuple[Route, ...]:
        # The row reader reuses the cells of unchanged rows, so the identity of
        # the cells shows which routes can be reused. The cells are kept here
        # too, since the id of a freed object can be assigned again.
        previous = self._built
        self._built = {}
        for row in rows:
            identity = id(row.cells)
            entry = previous.get(identity) or (row.cells, _build_route(row))
            self._built[identity] = entry
        return tuple(route for _, route in self._built.values())


def read_tables(
    revision: Revision,
    routes_text: str,
    pools_text: str,
    tenants_text: str = '',
) -> ReadTables:
    """Read the tables without a previous version.

    >>> read_tables(Revision(1), '', '').failure()[0].message
    'is empty; the first line must name the columns'
    """
    return TablesReader().read(revision, routes_text, pools_text, tenants_text)


def _check_pools(pools: ParsedTable) -> None:
    _check_duplicates(pools, ('pool',))
    for row in pools.rows:
        if row.is_fleet_row:
            _check_fleet_row(pools, row)
        else:
            _check_limits(pools, row)


def _check_limits(pools: ParsedTable, row: Row) -> None:
    cells = row.cells
    if row.has('cold_limit', 'slots') and cells['cold_limit'] > cells['slots']:
        pools.add_finding(row.line, 'cold_limit', 'is larger than slots')
    if row.has('slots', 'connections') and (
        cells['slots'] > cells['connections']
    ):
        message = 'is larger than connections; each slot needs a connection'
        pools.add_finding(row.line, 'slots', message)


def _check_fleet_row(pools: ParsedTable, row: Row) -> None:
    for name in row.cells:
        if name not in {'pool', 'availability_zones'}:
            pools.add_finding(row.line, name, 'must be empty in the row *')


def _check_routes(routes: ParsedTable, pools: ParsedTable) -> None:
    _check_duplicates(routes, ('route',))
    _check_duplicates(routes, ('authority', 'path_prefix', 'operations'))
    pool_names = {row.cells.get('pool') for row in pools.rows} - {ANY}
    for row in routes.rows:
        pool = row.cells.get('pool')
        if pool is not None and pool not in pool_names:
            routes.add_finding(row.line, 'pool', f'names no pool: {pool!r}')
        _check_operations(routes, row)


def _check_tenants(tenants: ParsedTable) -> None:
    _check_duplicates(tenants, ('tenant',))
    first_lines: dict[KeyDigest, int] = {}
    for row in tenants.rows:
        digests = row.cells.get('keys', frozenset())
        shared = [first_lines[key] for key in digests if key in first_lines]
        if shared:
            message = f'has a key that row {min(shared)} has too'
            tenants.add_finding(row.line, 'keys', message)
        for digest in digests:
            first_lines.setdefault(digest, row.line)


def _check_operations(routes: ParsedTable, row: Row) -> None:
    operations = row.cells.get('operations')
    extra = row.cells.get('idempotent', frozenset()) - (
        operations or frozenset()
    )
    if operations and extra:
        names = ', '.join(sorted(extra))
        message = f'lists {names}, which operations does not'
        routes.add_finding(row.line, 'idempotent', message)


def _check_duplicates(parsed: ParsedTable, columns: tuple[str, ...]) -> None:
    key_of = itemgetter(*columns)
    first_lines: dict[object, int] = {}
    for row in parsed.rows:
        try:
            key = key_of(row.cells)
        except KeyError:
            continue
        first = first_lines.setdefault(key, row.line)
        if first != row.line:
            message = f'repeats {" and ".join(columns)} of row {first}'
            parsed.add_finding(row.line, columns[0], message)


def _fleet_zones(
    rows: Iterable[Row],
) -> frozenset[AvailabilityZoneName] | None:
    for row in rows:
        if row.is_fleet_row:
            return frozenset(row.cells['availability_zones'])
    return None


def _build_pool(
    row: Row,
    fleet_zones: frozenset[AvailabilityZoneName] | None,
) -> Pool:
    cells = row.cells
    zones = frozenset(cells['availability_zones'])
    return Pool(
        PoolName(cells['pool']),
        ServiceName(cells['service']),
        zones if fleet_zones is None else zones & fleet_zones,
        cells['slots'],
        cells['connections'],
        cells['cold_limit'],
        cells['probes_per_s'],
    )


def _build_tenants(rows: Iterable[Row]) -> dict[TenantName, Tenant]:
    tenants = (
        Tenant(
            TenantName(row.cells['tenant']),
            row.cells['keys'],
            row.cells['priority'],
            row.cells['rate_per_s'],
            row.cells['burst'],
        )
        for row in rows
    )
    return {tenant.name: tenant for tenant in tenants}


def _build_route(row: Row) -> Route:
    cells = row.cells
    tenant = cells['tenant']
    attribute = ''
    if tenant.startswith(_TENANT_HEADER_PREFIX):
        attribute = tenant.removeprefix(_TENANT_HEADER_PREFIX)
        tenant = ''
    return Route(
        RouteName(cells['route']),
        cells['authority'],
        cells['path_prefix'],
        cells['operations'],
        PoolName(cells['pool']),
        cells['idempotent'],
        TenantName(tenant),
        attribute,
        cells['deadline_ms'],
        cells['retry_percent'],
        response_size=cells['response_size'],
        is_public=cells['public'],
        request_size=cells['request_size'],
    )

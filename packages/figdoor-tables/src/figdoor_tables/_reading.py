"""Both tables read and joined; refused as a whole where findings exist."""

from collections.abc import Iterable

from returns.result import Failure, Result, Success

from figdoor_kernel import (
    ANY,
    AvailabilityZoneName,
    Finding,
    Pool,
    PoolName,
    Revision,
    Route,
    RouteName,
    ServiceName,
    Tables,
    TenantName,
)
from figdoor_tables._columns import POOL_COLUMNS, ROUTE_COLUMNS
from figdoor_tables._rows import ReadRows, Row, read_rows

ROUTES_TABLE = 'routes'
POOLS_TABLE = 'pools'
_TENANT_HEADER_MARK = 'header:'

ReadTables = Result[Tables, tuple[Finding, ...]]


def read_tables(
    revision: Revision,
    routes_text: str,
    pools_text: str,
) -> ReadTables:
    """Return both tables as typed values, or every finding about them.

    >>> read_tables(Revision(1), '', '').failure()[0].message
    'is empty; the first line must name the columns'
    """
    routes = read_rows(ROUTES_TABLE, routes_text, ROUTE_COLUMNS)
    pools = read_rows(POOLS_TABLE, pools_text, POOL_COLUMNS)
    _check_pools(pools)
    _check_routes(routes, pools)
    findings = tuple(routes.findings + pools.findings)
    if findings:
        return Failure(findings)
    bound = _fleet_bound(pools.rows)
    by_name = {
        PoolName(row.cells['pool']): _make_pool(row, bound)
        for row in pools.rows
        if not row.is_bound
    }
    return Success(
        Tables(
            revision,
            tuple(_make_route(row) for row in routes.rows),
            by_name,
            bound,
            routes_text,
            pools_text,
        ),
    )


def _check_pools(pools: ReadRows) -> None:
    _check_duplicates(pools, ('pool',))
    for row in pools.rows:
        if row.is_bound:
            _check_bound(pools, row)
        else:
            _check_limits(pools, row)


def _check_limits(pools: ReadRows, row: Row) -> None:
    cells = row.cells
    if row.has('cold_limit', 'slots') and cells['cold_limit'] > cells['slots']:
        pools.note(row.line, 'cold_limit', 'is larger than slots')
    if row.has('slots', 'connections') and (
        cells['slots'] > cells['connections']
    ):
        message = 'is larger than connections; each slot needs a connection'
        pools.note(row.line, 'slots', message)


def _check_bound(pools: ReadRows, row: Row) -> None:
    for name in row.cells:
        if name not in {'pool', 'availability_zones'}:
            pools.note(row.line, name, 'must be empty in the row *')


def _check_routes(routes: ReadRows, pools: ReadRows) -> None:
    _check_duplicates(routes, ('route',))
    _check_duplicates(routes, ('authority', 'path_prefix', 'operations'))
    known = {row.cells.get('pool') for row in pools.rows} - {ANY}
    for row in routes.rows:
        pool = row.cells.get('pool')
        if pool is not None and pool not in known:
            routes.note(row.line, 'pool', f'names no pool: {pool!r}')
        _check_operations(routes, row)


def _check_operations(routes: ReadRows, row: Row) -> None:
    taken = row.cells.get('operations')
    extra = row.cells.get('idempotent', frozenset()) - (taken or frozenset())
    if taken and extra:
        names = ', '.join(sorted(extra))
        message = f'lists {names}, which operations does not'
        routes.note(row.line, 'idempotent', message)


def _check_duplicates(read: ReadRows, columns: tuple[str, ...]) -> None:
    first_lines: dict[tuple[object, ...], int] = {}
    for row in read.rows:
        if not row.has(*columns):
            continue
        key = tuple(row.cells[name] for name in columns)
        first = first_lines.setdefault(key, row.line)
        if first != row.line:
            message = f'repeats {" and ".join(columns)} of row {first}'
            read.note(row.line, columns[0], message)


def _fleet_bound(
    rows: Iterable[Row],
) -> frozenset[AvailabilityZoneName] | None:
    for row in rows:
        if row.is_bound:
            return frozenset(row.cells['availability_zones'])
    return None


def _make_pool(
    row: Row,
    bound: frozenset[AvailabilityZoneName] | None,
) -> Pool:
    cells = row.cells
    zones = frozenset(cells['availability_zones'])
    return Pool(
        PoolName(cells['pool']),
        ServiceName(cells['service']),
        zones if bound is None else zones & bound,
        cells['slots'],
        cells['connections'],
        cells['cold_limit'],
        cells['probes_per_s'],
    )


def _make_route(row: Row) -> Route:
    cells = row.cells
    tenant = cells['tenant']
    attribute = ''
    if tenant.startswith(_TENANT_HEADER_MARK):
        attribute = tenant.removeprefix(_TENANT_HEADER_MARK)
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
    )

"""Both tables read and joined; refused as a whole where findings exist."""

from collections.abc import Iterable, Mapping
from operator import itemgetter
from typing import Any

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
from figdoor_tables._rows import ReadRows, Row, RowReader

ROUTES_TABLE = 'routes'
POOLS_TABLE = 'pools'
_TENANT_HEADER_MARK = 'header:'

ReadTables = Result[Tables, tuple[Finding, ...]]


class TablesReader:
    """Reads both tables, at little cost where few rows have changed."""

    def __init__(self) -> None:
        """Start without a text read before."""
        self._routes = RowReader(ROUTES_TABLE, ROUTE_COLUMNS)
        self._pools = RowReader(POOLS_TABLE, POOL_COLUMNS)
        self._made: dict[int, tuple[Mapping[str, Any], Route]] = {}

    def read(
        self,
        revision: Revision,
        routes_text: str,
        pools_text: str,
    ) -> ReadTables:
        """Return both tables as typed values, or every finding about them."""
        routes = self._routes.read(routes_text)
        pools = self._pools.read(pools_text)
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
                self._make_routes(routes.rows),
                by_name,
                bound,
                routes_text,
                pools_text,
            ),
        )

    def _make_routes(self, rows: Iterable[Row]) -> tuple[Route, ...]:
        # The row reader keeps the cells of unchanged rows, so their identity
        # tells which routes can be taken over. The cells are held here too,
        # since the identity of a released object can be given out again.
        known = self._made
        self._made = {}
        for row in rows:
            identity = id(row.cells)
            made = known.get(identity) or (row.cells, _make_route(row))
            self._made[identity] = made
        return tuple(route for _, route in self._made.values())


def read_tables(
    revision: Revision,
    routes_text: str,
    pools_text: str,
) -> ReadTables:
    """Read both tables once.

    >>> read_tables(Revision(1), '', '').failure()[0].message
    'is empty; the first line must name the columns'
    """
    return TablesReader().read(revision, routes_text, pools_text)


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
    key_of = itemgetter(*columns)
    first_lines: dict[object, int] = {}
    for row in read.rows:
        try:
            key = key_of(row.cells)
        except KeyError:
            continue
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

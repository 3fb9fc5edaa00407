"""Columns of the tables, and readers that parse and validate their cells.

The first line of each reader's doc comment is shown to operators on the
reference page.
"""

import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from returns.result import Failure, Result, Success

from figdoor_kernel import (
    ANY,
    DIGEST_BYTES,
    KeyDigest,
    RequestSize,
    ResponseSize,
)

_NAME = re.compile(r'[a-z0-9][a-z0-9._-]{0,62}')
_OPERATION = re.compile('[A-Z]{1,16}')
_HEADER = re.compile('[a-z0-9][a-z0-9-]{0,62}')
_KEY_DIGEST = re.compile(f'[0-9a-f]{{{2 * DIGEST_BYTES}}}')
_TENANT_HEADER_PREFIX = 'header:'
_YES = 'yes'
_NO = 'no'

Cell = Result[Any, str]


@dataclass(frozen=True, slots=True)
class Column:
    """The name of a column, the reader of its cells and its description.

    A table may leave out a column that has a default; ``default`` is the text
    that its cells then have.
    """

    name: str
    read: Callable[[str], Cell]
    description: str
    default: str | None = None


def read_name(cell: str) -> Cell:
    """Read 1 to 63 of a-z, 0-9 and ``._-``, starting with a letter or digit."""
    if _NAME.fullmatch(cell):
        return Success(cell)
    return Failure(
        f'{cell!r} is not a name (1 to 63 of a-z, 0-9, ".", "_", "-")',
    )


def read_pool_name(cell: str) -> Cell:
    """Read a pool's name, or ``*`` for the availability zones of all pools."""
    return Success(cell) if cell == ANY else read_name(cell)


def read_authority(cell: str) -> Cell:
    """Read a host name, or ``*`` for any; letter case is ignored."""
    if cell == ANY:
        return Success(cell)
    if cell and ' ' not in cell and '/' not in cell:
        return Success(cell.lower())
    return Failure(f'{cell!r} is neither a host name nor *')


def read_path_prefix(cell: str) -> Cell:
    """Read the start of a path: it begins with ``/`` and has no spaces."""
    if cell.startswith('/') and ' ' not in cell:
        return Success(cell)
    return Failure(f'{cell!r} does not start with /')


def read_operations(cell: str) -> Cell:
    """Read HTTP methods separated by spaces, or ``*`` for any.

    The result is empty for ``*``.
    """
    if cell == ANY:
        return Success(frozenset())
    if not cell:
        return Failure('names no operation; write * for any')
    return read_operation_list(cell)


def read_operation_list(cell: str) -> Cell:
    """Read HTTP methods separated by spaces; the list may be empty."""
    invalid = [word for word in cell.split() if not _OPERATION.fullmatch(word)]
    if invalid:
        return Failure(f'{invalid[0]!r} is not an operation such as GET')
    return Success(frozenset(cell.split()))


def read_tenant(cell: str) -> Cell:
    """Read a tenant's name, or ``header:NAME`` to read it from a header."""
    if cell.startswith(_TENANT_HEADER_PREFIX):
        header = cell.removeprefix(_TENANT_HEADER_PREFIX).lower()
        if _HEADER.fullmatch(header):
            return Success(cell.lower())
        return Failure(f'{header!r} is not a header name')
    return read_name(cell)


def read_name_list(cell: str) -> Cell:
    """Read names separated by spaces; the list may be empty."""
    invalid = [word for word in cell.split() if not _NAME.fullmatch(word)]
    if invalid:
        return Failure(f'{invalid[0]!r} is not a name')
    return Success(frozenset(cell.split()))


def read_request_size(cell: str) -> Cell:
    """Read ``small`` or ``large``; an empty cell means ``small``."""
    try:
        return Success(RequestSize(cell or RequestSize.SMALL.value))
    except ValueError:
        return Failure(f'{cell!r} is neither small nor large')


def read_response_size(cell: str) -> Cell:
    """Read ``small`` or ``large``; an empty cell means ``small``."""
    try:
        return Success(ResponseSize(cell or ResponseSize.SMALL.value))
    except ValueError:
        return Failure(f'{cell!r} is neither small nor large')


def read_flag(cell: str) -> Cell:
    """Read ``yes`` or ``no``; an empty cell means ``no``."""
    if cell in {'', _NO, _YES}:
        return Success(cell == _YES)
    return Failure(f'{cell!r} is neither yes nor no')


def read_key_digests(cell: str) -> Cell:
    """Read digests of keys separated by spaces, as ``figdoor-ctl digest`` prints.

    A key may stand there by mistake, so the finding does not show it.
    """
    for number, word in enumerate(cell.split(), start=1):
        if not _KEY_DIGEST.fullmatch(word):
            return Failure(f'word {number} is not the digest of a key')
    digests = map(bytes.fromhex, cell.split())
    return Success(frozenset(map(KeyDigest, digests)))


def read_optional_priority(cell: str) -> Cell:
    """Read 0 to 999; an empty cell leaves the priority of the route in force."""
    return CountReader(0, 999)(cell) if cell else Success(None)


@dataclass(frozen=True, slots=True)
class CountReader:
    """Reads whole numbers between two limits, both inclusive."""

    lowest: int
    highest: int

    def __call__(self, cell: str) -> Cell:
        """Return the number, or a message if the cell is invalid."""
        if not re.fullmatch('[0-9]{1,9}', cell):
            return Failure(f'{cell!r} is not a whole number')
        number = int(cell)
        if self.lowest <= number <= self.highest:
            return Success(number)
        return Failure(f'{number} is not within {self.lowest}..{self.highest}')


@dataclass(frozen=True, slots=True)
class DecimalReader:
    """Reads decimal numbers between two limits, both inclusive."""

    lowest: float
    highest: float

    def __call__(self, cell: str) -> Cell:
        """Return the number, or a message if the cell is invalid."""
        if not re.fullmatch(r'[0-9]{1,9}(\.[0-9]{1,6})?', cell):
            return Failure(f'{cell!r} is not a decimal number')
        number = float(cell)
        if self.lowest <= number <= self.highest:
            return Success(number)
        return Failure(f'{cell} is not within {self.lowest}..{self.highest}')


ROUTE_COLUMNS = (
    Column(
        'route',
        read_name,
        'name of the route',
    ),
    Column(
        'authority',
        read_authority,
        'host name of the request without port, or * for any',
    ),
    Column(
        'path_prefix',
        read_path_prefix,
        'start of the path in whole segments; the longest match wins',
    ),
    Column(
        'operations',
        read_operations,
        'HTTP methods that the route matches, or * for any',
    ),
    Column(
        'pool',
        read_name,
        'name of the pool, in the pools table, that serves the requests',
    ),
    Column(
        'idempotent',
        read_operation_list,
        'HTTP methods that may run more than once; all others run at most once',
    ),
    Column(
        'tenant',
        read_tenant,
        'tenant for whom the requests are counted, or the header that names it',
    ),
    Column(
        'deadline_ms',
        CountReader(1, 600_000),
        'time limit of a request; a caller can set a shorter one',
    ),
    Column(
        'retry_percent',
        DecimalReader(0, 100),
        'retries in percent of first attempts, with a burst of 10 on '
        'each node; 0 for none',
    ),
    Column(
        'response_size',
        read_response_size,
        'size of the usual response; a large one (64 KB or more) comes from '
        'another availability zone only if no local upstream meets the '
        'objective',
        default=ResponseSize.SMALL.value,
    ),
    Column(
        'request_size',
        read_request_size,
        'size of the usual request body; a large one (64 KB or more) is sent '
        'to another availability zone only if no local upstream meets the '
        'objective',
        default=RequestSize.SMALL.value,
    ),
    Column(
        'public',
        read_flag,
        'whether a request needs no key where the tenants table exists',
        default=_NO,
    ),
)

POOL_COLUMNS = (
    Column(
        'pool',
        read_pool_name,
        'name of the pool; the row * limits availability_zones of all '
        'pools, and its other cells are empty',
    ),
    Column(
        'service',
        read_name,
        'service in the VM list whose VMs are the upstreams',
    ),
    Column(
        'availability_zones',
        read_name_list,
        'availability zones in service; upstreams in others get no new '
        'requests',
    ),
    Column(
        'slots',
        CountReader(1, 10_000),
        'requests that one upstream runs at once',
    ),
    Column(
        'connections',
        CountReader(1, 100_000),
        'connections that one upstream accepts from the whole fleet',
    ),
    Column(
        'cold_limit',
        CountReader(1, 10_000),
        'requests in flight from the whole fleet to an upstream in a '
        'cold start',
    ),
    Column(
        'probes_per_s',
        DecimalReader(0, 1000),
        'probes of one upstream per second from the whole fleet; 0 for none',
    ),
)

TENANT_COLUMNS = (
    Column(
        'tenant',
        read_name,
        'name of the tenant, which upstreams get with its requests',
    ),
    Column(
        'keys',
        read_key_digests,
        'keys of its callers; a key belongs to one tenant',
    ),
    Column(
        'priority',
        read_optional_priority,
        'rank of its requests, 0 is the most urgent',
        default='',
    ),
    Column(
        'rate_per_s',
        DecimalReader(0, 1_000_000),
        'requests per second that all nodes together accept; 0 for no limit',
        default='0',
    ),
    Column(
        'burst',
        DecimalReader(0, 1_000_000),
        'requests that may exceed the rate at once',
        default='0',
    ),
)

"""The accepted tables as typed values."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from figdoor_kernel._ids import (
    AvailabilityZoneName,
    PoolName,
    Revision,
    RouteName,
    ServiceName,
    TenantName,
)

ANY = '*'


@dataclass(frozen=True, slots=True)
class Route:
    """One row of the routes table.

    ``operations`` is empty where the row takes every operation. A tenant is
    either a fixed name or read from the request attribute
    ``tenant_attribute`` (a header name in lower case).
    """

    name: RouteName
    authority: str
    path_prefix: str
    operations: frozenset[str]
    pool: PoolName
    idempotent: frozenset[str]
    tenant: TenantName
    tenant_attribute: str
    deadline_ms: int
    retry_percent: float


@dataclass(frozen=True, slots=True)
class Pool:
    """One row of the pools table.

    ``availability_zones`` are those in service, already bounded by the row
    ``*``. ``slots`` and ``connections`` are per worker over the whole fleet,
    ``cold_limit`` counts requests in flight from the whole fleet to a cold
    upstream and ``probes_per_s`` is the measuring budget of each upstream.
    """

    name: PoolName
    service: ServiceName
    availability_zones: frozenset[AvailabilityZoneName]
    slots: int
    connections: int
    cold_limit: int
    probes_per_s: float


@dataclass(frozen=True, slots=True)
class Tables:
    """Both tables as accepted at one revision of the configuration service.

    ``fleet_availability_zones`` is the bound that the pools row ``*`` sets,
    or ``None`` where there is no such row. The texts are kept because peers
    and operators are given what was published.
    """

    revision: Revision
    routes: tuple[Route, ...]
    pools: Mapping[PoolName, Pool]
    fleet_availability_zones: frozenset[AvailabilityZoneName] | None = None
    routes_text: str = field(default='', repr=False)
    pools_text: str = field(default='', repr=False)

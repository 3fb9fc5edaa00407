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
    ``tenant_attribute`` (a header name in lower case). ``idempotent`` holds
    ``ANY`` where every operation is. ``objective_ms`` is the time within
    which an answer is worth most, 0 where none was set. ``priority`` 0 is the
    most urgent. ``split`` names the pools of a weighted split and their
    weights; it is empty where ``pool`` takes all requests.
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
    objective_ms: float = 0
    priority: int = 0
    max_attempts: int = 4
    split: tuple[tuple[PoolName, float], ...] = ()


@dataclass(frozen=True, slots=True)
class Pool:
    """One row of the pools table.

    ``availability_zones`` are those in service, already bounded by the row
    ``*``, and hold ``ANY`` where all are. ``slots`` and ``connections`` are per worker over the whole fleet,
    ``cold_limit`` counts requests in flight from the whole fleet to a cold
    upstream and ``probes_per_s`` is the measuring budget of each upstream.
    ``cold_per_s`` bounds the requests per second from the whole fleet to an
    upstream in a cold start, and ``health_path`` is where probes go.
    """

    name: PoolName
    service: ServiceName
    availability_zones: frozenset[AvailabilityZoneName]
    slots: int
    connections: int
    cold_limit: int
    probes_per_s: float
    cold_per_s: float = 0
    health_path: str = ''


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, and how long it may take or stay idle.

    ``None`` leaves a limit to the node's settings.
    """

    max_header_bytes: int | None = None
    max_body_bytes: int | None = None
    header_timeout_ms: float | None = None
    idle_timeout_ms: float | None = None


@dataclass(frozen=True, slots=True)
class Tables:
    """Both tables as accepted at one revision of the configuration service.

    ``fleet_availability_zones`` is the bound that the pools row ``*`` sets,
    or ``None`` where there is no such row. Upstreams in ``evacuated`` get no
    work from any pool. The texts are kept because peers
    and operators are given what was published.
    """

    revision: Revision
    routes: tuple[Route, ...]
    pools: Mapping[PoolName, Pool]
    fleet_availability_zones: frozenset[AvailabilityZoneName] | None = None
    routes_text: str = field(default='', repr=False)
    pools_text: str = field(default='', repr=False)
    caller_limits: CallerLimits = CallerLimits()
    evacuated: frozenset[AvailabilityZoneName] = frozenset()

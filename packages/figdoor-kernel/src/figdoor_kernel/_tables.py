"""Typed values of the routes and pools tables."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from figdoor_kernel._ids import (
    AvailabilityZoneName,
    Era,
    KeyDigest,
    PoolName,
    Revision,
    RouteName,
    ServiceName,
    TenantName,
)
from figdoor_kernel._serialized_names import NOT_RECORDED
from figdoor_kernel._states import RequestSize, ResponseSize

ANY = '*'


@dataclass(frozen=True, slots=True)
class Route:
    """One row of the routes table.

    ``operations`` is empty if the route matches every operation. The tenant
    is either a fixed name or read from the request attribute
    ``tenant_attribute`` (a header name in lower case). ``idempotent``
    contains ``ANY`` if every operation is idempotent. ``objective_ms`` is the
    latency objective, 0 if none is set. ``priority`` 0 is the most urgent.
    ``split`` lists the pools of a weighted split with their weights; it is
    empty if ``pool`` gets all requests. ``response_size`` tells whether the
    usual response is large, ``request_size`` whether the usual request body
    is. ``is_public`` routes need no tenant's key.
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
    response_size: ResponseSize = ResponseSize.SMALL
    request_size: RequestSize = RequestSize.SMALL
    is_public: bool = False


@dataclass(frozen=True, slots=True)
class Tenant:
    """One organisation that sends requests, with its keys and its allowance.

    Only digests of its keys are kept, since keys are secrets. ``priority``
    takes precedence over that of the route; ``None`` leaves the route's in
    force. The allowance is ``rate_per_s`` requests a second plus ``burst``
    requests over all nodes; a rate of 0 means no limit.
    """

    name: TenantName
    key_digests: frozenset[KeyDigest] = field(
        default=frozenset(),
        repr=False,
        metadata=NOT_RECORDED,
    )
    priority: int | None = None
    rate_per_s: float = 0
    burst: float = 0


@dataclass(frozen=True, slots=True)
class Pool:
    """One row of the pools table.

    ``availability_zones`` are those in service, already limited by the row
    ``*``; they contain ``ANY`` if all are. The limits apply to each upstream
    and to the sum over all nodes: ``slots`` to requests, ``connections`` to
    open connections, ``cold_limit`` to requests in flight and ``cold_per_s``
    to requests per second while it is in a cold start, and ``probes_per_s``
    to probes. ``health_path`` is the path that probes request.
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
    """Limits on the size and timing of callers' requests.

    ``None`` means that the node's setting applies.
    """

    max_header_bytes: int | None = None
    max_body_bytes: int | None = None
    header_timeout_ms: float | None = None
    idle_timeout_ms: float | None = None


@dataclass(frozen=True, slots=True)
class Tables:
    """The tables as accepted at one revision of the configuration service.

    ``fleet_availability_zones`` are the zones of the row ``*`` of the pools
    table, which limit those of every pool, or ``None`` if there is no such
    row. Upstreams in ``evacuated`` zones get no requests from any pool. The
    texts are kept because peers and operators get them as published. If there
    are ``tenants``, a call needs the key of one of them, unless its route is
    public. The revision is one of the store's ``era``. ``version`` is the
    operator's own number of the tables, which only increases; it is 0 if there
    is none. ``needs_key`` is set if the tables have a list of tenants, even an
    empty one: the removal of the last tenant must not open all routes.
    """

    revision: Revision
    routes: tuple[Route, ...]
    pools: Mapping[PoolName, Pool]
    fleet_availability_zones: frozenset[AvailabilityZoneName] | None = None
    routes_text: str = field(default='', repr=False)
    pools_text: str = field(default='', repr=False)
    caller_limits: CallerLimits = CallerLimits()
    evacuated: frozenset[AvailabilityZoneName] = frozenset()
    tenants: Mapping[TenantName, Tenant] = field(
        default_factory=dict,
        metadata=NOT_RECORDED,
    )
    needs_key: bool = field(default=False, metadata=NOT_RECORDED)
    tenants_text: str = field(default='', repr=False, metadata=NOT_RECORDED)
    era: Era = field(default=Era(0), metadata=NOT_RECORDED)
    version: int = field(default=0, metadata=NOT_RECORDED)

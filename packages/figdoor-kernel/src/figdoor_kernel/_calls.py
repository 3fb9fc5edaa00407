"""Requests and load reports, independent of their encoding."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from figdoor_kernel._ids import (
    Fingerprint,
    InstanceId,
    KeyDigest,
    TenantName,
)
from figdoor_kernel._serialized_names import NOT_RECORDED
from figdoor_kernel._states import KeyState
from figdoor_kernel._tables import ANY, Pool, Route, Tenant


@dataclass(frozen=True, slots=True)
class Call:
    """One request of a caller.

    ``time_left_ms`` is the timeout that the caller set, or ``None``.
    ``attributes`` are named strings of the request (for HTTP the headers,
    with names in lower case). ``request_id`` is the caller's own id of the
    request, empty if it sent none. ``replayable`` is true if the whole body
    is buffered, so that another attempt can send it again. ``key_digest``
    identifies the key that the caller sent, ``None`` if it sent none.
    """

    operation: str
    authority: str
    path: str
    fingerprint: Fingerprint
    time_left_ms: float | None = None
    replayable: bool = True
    attributes: Mapping[str, str] = field(default_factory=dict)
    request_id: str = ''
    key_digest: KeyDigest | None = field(
        default=None,
        repr=False,
        metadata=NOT_RECORDED,
    )


@dataclass(frozen=True, slots=True)
class Caller:
    """Who sent a call; ``tenant`` is set if and only if its key is known."""

    key_state: KeyState
    tenant: Tenant | None = None


@dataclass(frozen=True, slots=True)
class RoutedCall:
    """A call with the route and pool that apply to it.

    ``deadline_ms`` and ``opened_ms`` are times on the node's clock; both count
    from the arrival of the request's head, before its body.
    ``tenant_record`` is the row of the tenant that holds the caller's key,
    ``None`` where the tables have no tenants or the route is public. Both it
    and ``key_state`` are those of the tables in force when the call opened.
    """

    call: Call
    route: Route
    pool: Pool
    tenant: TenantName
    deadline_ms: float
    opened_ms: float = 0
    tenant_record: Tenant | None = None
    key_state: KeyState = KeyState.UNUSED

    @property
    def priority(self) -> int:
        """The tenant's priority if it has one, else the route's; 0 is first."""
        tenant = self.tenant_record
        if tenant is None or tenant.priority is None:
            return self.route.priority
        return tenant.priority

    @property
    def idempotent(self) -> bool:
        """Whether the routes table declares this operation idempotent."""
        listed = self.route.idempotent
        return self.call.operation in listed or ANY in listed


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load that an upstream reports; out of date when it arrives.

    ``waiting`` is the length of its queue. ``slowness`` is the current
    service time as a multiple of the usual one. ``cold_ms`` is the time that
    is left of its cold start.
    """

    instance: InstanceId
    running: int
    draining: bool = False
    waiting: int = 0
    slots: int = 0
    slowness: float = 1
    cold_ms: float = 0

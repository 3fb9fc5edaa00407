"""A caller's request as the decisions see it, free of any encoding."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from figdoor_kernel._ids import (
    Fingerprint,
    InstanceId,
    TenantName,
)
from figdoor_kernel._tables import ANY, Pool, Route


@dataclass(frozen=True, slots=True)
class Call:
    """One request of a caller.

    ``time_left_ms`` is the time that the caller gave, in milliseconds, or
    ``None``. ``attributes`` are named texts of the request (for HTTP the
    headers, names in lower case). ``request_id`` is the caller's own id of
    the request, empty where it has none. ``replayable`` says that the whole body is
    held, so that a further attempt can be made.
    """

    operation: str
    authority: str
    path: str
    fingerprint: Fingerprint
    time_left_ms: float | None = None
    replayable: bool = True
    attributes: Mapping[str, str] = field(default_factory=dict)
    request_id: str = ''


@dataclass(frozen=True, slots=True)
class RoutedCall:
    """A call joined with the rows of the tables that are in force for it.

    ``deadline_ms`` and ``opened_ms`` are points on the node's clock.
    """

    call: Call
    route: Route
    pool: Pool
    tenant: TenantName
    deadline_ms: float
    opened_ms: float = 0

    @property
    def idempotent(self) -> bool:
        """Whether the routes table calls this operation idempotent."""
        listed = self.route.idempotent
        return self.call.operation in listed or ANY in listed


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What an upstream says of itself: stale as soon as it is read.

    ``waiting`` counts requests in its queue. ``slowness`` is how long work
    takes at this moment, as a multiple of the usual time, and ``cold_ms`` how
    much longer its cold start lasts.
    """

    instance: InstanceId
    running: int
    draining: bool = False
    waiting: int = 0
    slots: int = 0
    slowness: float = 1
    cold_ms: float = 0

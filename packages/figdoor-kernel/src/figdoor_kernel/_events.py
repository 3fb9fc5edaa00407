"""Events that the parts of a node publish and subscribe to.

The usual order for one request is ``CallOpened``, ``AttemptStarted``,
``AttemptSent``, ``ReportSeen``, ``AttemptEnded``, ``CallClosed``. The others
result from input of the platform, the peers and the clock.
"""

from dataclasses import dataclass, field
from typing import ClassVar

from figdoor_kernel._calls import LoadReport
from figdoor_kernel._findings import Finding
from figdoor_kernel._ids import Revision, UpstreamId
from figdoor_kernel._states import (
    UpstreamState,
)
from figdoor_kernel._tables import Tables
from figdoor_kernel._vms import Vm, VmList


@dataclass(frozen=True, slots=True)
class ReportSeen:
    """A load report arrived with the response to a call or to a probe."""

    upstream: UpstreamId
    report: LoadReport
    now_ms: float


@dataclass(frozen=True, slots=True)
class LeavingSeen:
    """A response of an upstream says that this instance is leaving."""

    upstream: UpstreamId
    now_ms: float


@dataclass(frozen=True, slots=True)
class BackoffRequested:
    """An upstream shed a call and asks this node to send it nothing.

    ``duration_ms`` is the time that it asks for.
    """

    upstream: UpstreamId
    duration_ms: float
    now_ms: float


@dataclass(frozen=True, slots=True)
class ItemRejected:
    """A published item cannot be decoded; what it names is not used."""

    key: str
    reason: str
    now_ms: float


@dataclass(frozen=True, slots=True)
class PluginFailed:
    """A plug-in raised an unexpected error while a call was processed."""

    error: Exception
    now_ms: float


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """A probe ended; its load report, if any, came as ``ReportSeen``."""

    upstream: UpstreamId
    latency_ms: float
    succeeded: bool
    now_ms: float


@dataclass(frozen=True, slots=True)
class ProbeRequested:
    """A part requests a probe, already charged to the probe budget."""

    serialized_name: ClassVar[str] = 'ProbeWanted'
    upstream: UpstreamId
    now_ms: float


@dataclass(frozen=True, slots=True)
class ConnectionsClosed:
    """The last open connection to an upstream closed.

    The next connection may reach another instance of the upstream.
    """

    upstream: UpstreamId
    now_ms: float


@dataclass(frozen=True, slots=True)
class UpstreamStateChanged:
    """The state of an upstream in this node's local view changed."""

    upstream: UpstreamId
    state: UpstreamState
    now_ms: float


@dataclass(frozen=True, slots=True)
class TablesOffered:
    """The texts of the tables arrived, from the service or from a peer.

    ``tenants_text`` is empty if there is no tenants table.
    """

    revision: Revision
    routes_text: str
    pools_text: str
    now_ms: float
    tenants_text: str = field(default='', repr=False)


@dataclass(frozen=True, slots=True)
class TablesRead:
    """Tables were decoded from the published items."""

    tables: Tables
    now_ms: float


@dataclass(frozen=True, slots=True)
class TablesPending:
    """Newer tables were read and are valid, but are not yet in force."""

    serialized_name: ClassVar[str] = 'TablesHeld'
    tables: Tables
    now_ms: float


@dataclass(frozen=True, slots=True)
class TablesAccepted:
    """Newer tables are now in force."""

    tables: Tables
    now_ms: float


@dataclass(frozen=True, slots=True)
class TablesRefused:
    """Newer tables have findings; the previous ones stay in force."""

    revision: Revision
    findings: tuple[Finding, ...]
    now_ms: float


@dataclass(frozen=True, slots=True)
class ConfigReadSucceeded:
    """A read of the configuration service succeeded.

    ``revision`` is the newest one that the service has.
    """

    serialized_name: ClassVar[str] = 'ServiceConfirmed'
    read_started_ms: float
    revision: Revision


@dataclass(frozen=True, slots=True)
class ConfigReadFailed:
    """A read of the configuration service failed."""

    serialized_name: ClassVar[str] = 'ServiceFailed'
    read_started_ms: float
    now_ms: float


@dataclass(frozen=True, slots=True)
class UpstreamsRead:
    """The upstreams were decoded from the published items."""

    vms: tuple[Vm, ...]
    now_ms: float


@dataclass(frozen=True, slots=True)
class VmListChanged:
    """The VM list was read; it may be unchanged."""

    vm_list: VmList
    now_ms: float


@dataclass(frozen=True, slots=True)
class Tick:
    """Time passed; published periodically while the event loop runs."""

    now_ms: float

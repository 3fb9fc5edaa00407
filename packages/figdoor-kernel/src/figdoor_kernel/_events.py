"""Named events, by which plug-ins hear of each other.

In their usual order for one request: ``CallOpened``, ``AttemptStarted``,
``ReportSeen``, ``AttemptEnded``, ``CallClosed``. The others follow what the
platform, the peers and the clock bring.
"""

from dataclasses import dataclass
from typing import ClassVar

from figdoor_kernel._calls import LoadReport, RoutedCall
from figdoor_kernel._findings import Finding
from figdoor_kernel._ids import Revision, UpstreamId
from figdoor_kernel._states import (
    AttemptState,
    NodeState,
    Outcome,
    Refusal,
    UpstreamState,
)
from figdoor_kernel._tables import Tables
from figdoor_kernel._vms import Vm, VmList

# A timer of the loop can fire this much before its time.
_TIMER_ERROR_MS = 1.0


@dataclass(frozen=True, slots=True)
class CallOpened:
    """A routed call was taken."""

    routed: RoutedCall
    now_ms: float


@dataclass(frozen=True, slots=True)
class CallClosed:
    """A call ended; ``refusal`` is set where it was refused."""

    routed: RoutedCall | None
    outcome: Outcome
    refusal: Refusal | None
    latency_ms: float
    now_ms: float
    request_id: str = ''


@dataclass(frozen=True, slots=True)
class AttemptStarted:
    """An upstream was chosen; from now on the attempt counts in flight."""

    attempt_id: int
    upstream: UpstreamId
    routed: RoutedCall
    attempt_number: int
    now_ms: float


@dataclass(frozen=True, slots=True)
class CallUnplaced:
    """None of the upstreams with fresh reports was good enough for a call.

    ``margin`` is the highest multiple of the usual work with which the call
    still meets its objective.
    """

    routed: RoutedCall
    seen: tuple[UpstreamId, ...]
    margin: float
    now_ms: float


@dataclass(frozen=True, slots=True)
class CallWaiting:
    """A call waits for permits that were asked for these upstreams."""

    routed: RoutedCall
    asked: tuple[UpstreamId, ...]
    until_ms: float
    now_ms: float


@dataclass(frozen=True, slots=True)
class AttemptSent:
    """All rules agreed once more, and the first byte is about to leave."""

    attempt_id: int
    upstream: UpstreamId
    routed: RoutedCall
    now_ms: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt is over.

    ``failed`` says that the upstream answered with an error of its own.
    ``connection_died`` says that its connection closed under the request.
    ``answer_begun`` says that a part of the answer was passed on, and
    ``final`` that no other attempt may follow.
    """

    attempt_id: int
    upstream: UpstreamId
    routed: RoutedCall
    state: AttemptState
    latency_ms: float
    failed: bool
    connection_died: bool
    now_ms: float
    answer_begun: bool = False
    final: bool = False

    @property
    def cancelled(self) -> bool:
        """Whether the caller went away before its time was up.

        This says nothing of the upstream, unlike an attempt that timed out.
        """
        if self.state is not AttemptState.LOST or self.connection_died:
            return False
        left_ms = self.routed.deadline_ms - self.now_ms
        return self.final and left_ms > _TIMER_ERROR_MS


@dataclass(frozen=True, slots=True)
class ReportSeen:
    """A load report arrived, on an answer or on a probe's answer."""

    upstream: UpstreamId
    report: LoadReport
    now_ms: float


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """A probe is over; its report, if any, came as ``ReportSeen``."""

    upstream: UpstreamId
    latency_ms: float
    succeeded: bool
    now_ms: float


@dataclass(frozen=True, slots=True)
class ProbeRequested:
    """A policy has spent budget on one probe of this upstream."""

    serialized_name: ClassVar[str] = 'ProbeWanted'
    upstream: UpstreamId
    now_ms: float


@dataclass(frozen=True, slots=True)
class ConnectionsClosed:
    """The last open connection to an upstream closed.

    The next connection may reach another instance of it.
    """

    upstream: UpstreamId
    now_ms: float


@dataclass(frozen=True, slots=True)
class UpstreamStateChanged:
    """This node's picture of an upstream changed."""

    upstream: UpstreamId
    state: UpstreamState
    now_ms: float


@dataclass(frozen=True, slots=True)
class TablesOffered:
    """Texts of both tables arrived, from the service or from a peer.

    ``read_started_ms`` is the clock when the read began, or ``None`` where
    the offer came from a peer.
    """

    revision: Revision
    routes_text: str
    pools_text: str
    now_ms: float


@dataclass(frozen=True, slots=True)
class TablesRead:
    """Tables were read whole from what the platform publishes."""

    tables: Tables
    now_ms: float


@dataclass(frozen=True, slots=True)
class TablesPending:
    """A newer pair of tables was read; it is not yet in force."""

    serialized_name: ClassVar[str] = 'TablesHeld'
    tables: Tables
    now_ms: float


@dataclass(frozen=True, slots=True)
class TablesAccepted:
    """A newer pair of tables is in force."""

    tables: Tables
    now_ms: float


@dataclass(frozen=True, slots=True)
class TablesRefused:
    """A newer pair of tables has findings; the last one stays in force."""

    revision: Revision
    findings: tuple[Finding, ...]
    now_ms: float


@dataclass(frozen=True, slots=True)
class ConfigReadSucceeded:
    """A read of the configuration service that began then has succeeded."""

    serialized_name: ClassVar[str] = 'ServiceConfirmed'
    read_started_ms: float
    revision: Revision


@dataclass(frozen=True, slots=True)
class ConfigReadFailed:
    """A read of the configuration service that began then has failed."""

    serialized_name: ClassVar[str] = 'ServiceFailed'
    read_started_ms: float
    now_ms: float


@dataclass(frozen=True, slots=True)
class UpstreamsRead:
    """The upstreams were read from the published items."""

    vms: tuple[Vm, ...]
    now_ms: float


@dataclass(frozen=True, slots=True)
class VmListChanged:
    """The VM list was read; it may be the same as before."""

    vm_list: VmList
    now_ms: float


@dataclass(frozen=True, slots=True)
class NodeStateChanged:
    """The node turned ready, unready, stopping or stopped."""

    state: NodeState
    now_ms: float


@dataclass(frozen=True, slots=True)
class DependencyChanged:
    """Something that the node depends on was lost or regained."""

    name: str
    is_up: bool
    reason: str
    now_ms: float


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """The node's settings were read again and some have changed."""

    names: tuple[str, ...]
    now_ms: float


@dataclass(frozen=True, slots=True)
class Tick:
    """Time passed; sent every ``tick_ms`` while the loop runs."""

    now_ms: float

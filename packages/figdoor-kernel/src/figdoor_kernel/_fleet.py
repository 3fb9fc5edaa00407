"""A node's local view of the upstreams: VM list, own counts, last reports."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from figdoor_kernel._call_events import (
    AttemptEnded,
    AttemptStarted,
)
from figdoor_kernel._calls import LoadReport
from figdoor_kernel._event_bus import EventBus
from figdoor_kernel._events import (
    ReportSeen,
    VmListChanged,
)
from figdoor_kernel._ids import (
    AvailabilityZoneName,
    InstanceId,
    ServiceName,
    UpstreamId,
)
from figdoor_kernel._states import VmState
from figdoor_kernel._vms import FIGDOOR_SERVICE, Vm, VmList


@dataclass(slots=True, eq=False)
class Upstream:
    """One worker of a service.

    ``in_flight`` is the exact count of this node's own attempts. ``report``
    is the last load report, which was already out of date when it arrived at
    ``report_at_ms``.
    """

    upstream_id: UpstreamId
    service: ServiceName
    availability_zone: AvailabilityZoneName
    host: str
    port: int
    vm_state: VmState
    instance: InstanceId = InstanceId('')
    slots: int = 0
    warm_at_ms: float = 0
    in_flight: int = 0
    report: LoadReport | None = None
    report_at_ms: float = 0


class Fleet:
    """Holds one record for each upstream in the VM list.

    An upstream of which more changes than its state, its slots or the end of
    its cold start gets a new record, so that an attempt to the former record
    is not sent: the rules deny a record that is not listed any more.
    """

    def __init__(self, events: EventBus) -> None:
        """Create an empty fleet; subscribe to the events that change it."""
        self._by_id: dict[UpstreamId, Upstream] = {}
        self._by_service: dict[ServiceName, list[Upstream]] = {}
        self._replaced: frozenset[UpstreamId] = frozenset()
        self._by_attempt: dict[int, Upstream] = {}
        self._nodes: tuple[Vm, ...] = ()
        self.vm_list = VmList()
        events.subscribe(VmListChanged, self._on_vm_list)
        events.subscribe(AttemptStarted, self._on_started)
        events.subscribe(AttemptEnded, self._on_ended)
        events.subscribe(ReportSeen, self._on_report)

    def find(self, upstream_id: UpstreamId) -> Upstream | None:
        """Return the record of an upstream, ``None`` if it is not listed."""
        return self._by_id.get(upstream_id)

    def of_service(self, service: ServiceName) -> Sequence[Upstream]:
        """Return all listed upstreams of a service."""
        return self._by_service.get(service, ())

    def upstreams(self) -> Sequence[Upstream]:
        """Return all listed upstreams."""
        return tuple(self._by_id.values())

    @property
    def upstream_count(self) -> int:
        """Return the number of listed upstreams."""
        return len(self._by_id)

    def drop_unlisted(self, records: dict[UpstreamId, Any]) -> None:
        """Delete the entries of upstreams that are no longer listed as before.

        Call it on ``VmListChanged``. An upstream that this list replaced, by a
        start under the same id for example, knows nothing of before.
        """
        for upstream_id in tuple(records):
            is_listed = upstream_id in self._by_id
            if not is_listed or upstream_id in self._replaced:
                records.pop(upstream_id)

    def nodes(self) -> tuple[Vm, ...]:
        """Return the listed VMs that are figdoor nodes."""
        return self._nodes

    def _on_vm_list(self, event: VmListChanged) -> None:
        self._replaced = frozenset()
        if event.vm_list is self.vm_list:
            return
        self.vm_list = event.vm_list
        # The nodes are needed for each call, and a list can hold thousands of
        # upstreams, so they are filtered once per list.
        self._nodes = event.vm_list.of_service(FIGDOOR_SERVICE)
        previous = self._by_id
        self._by_id = {}
        self._by_service = {}
        for vm in event.vm_list.vms:
            if vm.service != FIGDOOR_SERVICE:
                self._add(vm, previous.get(UpstreamId(vm.vm_id)))
        self._replaced = frozenset(
            upstream_id
            for upstream_id, upstream in self._by_id.items()
            if previous.get(upstream_id, upstream) is not upstream
        )

    def _add(self, vm: Vm, upstream: Upstream | None) -> None:
        if upstream is None or not _is_same_upstream(upstream, vm):
            upstream = Upstream(
                UpstreamId(vm.vm_id),
                vm.service,
                vm.availability_zone,
                vm.host,
                vm.port,
                vm.state,
                vm.instance,
            )
        upstream.vm_state = vm.state
        upstream.slots = vm.slots
        upstream.warm_at_ms = vm.warm_at_ms
        self._by_id[upstream.upstream_id] = upstream
        self._by_service.setdefault(vm.service, []).append(upstream)

    def _on_started(self, event: AttemptStarted) -> None:
        upstream = self._by_id.get(event.upstream)
        if upstream is not None:
            upstream.in_flight += 1
            self._by_attempt[event.attempt_id] = upstream

    def _on_ended(self, event: AttemptEnded) -> None:
        # The upstream may have been replaced since.
        upstream = self._by_attempt.pop(event.attempt_id, None)
        if upstream is not None:
            upstream.in_flight -= 1

    def _on_report(self, event: ReportSeen) -> None:
        upstream = self._by_id.get(event.upstream)
        if upstream is not None:
            upstream.report = event.report
            upstream.report_at_ms = event.now_ms


def _is_same_upstream(upstream: Upstream, vm: Vm) -> bool:
    address = (upstream.host, upstream.port)
    if address != (vm.host, vm.port) or upstream.instance != vm.instance:
        return False
    zone = upstream.availability_zone
    return upstream.service == vm.service and zone == vm.availability_zone

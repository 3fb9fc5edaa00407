"""Reads the platform's VM list when the plan says so."""

from collections.abc import Mapping, Sequence
from typing import Any

from loguru import logger
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from figdoor_decisions.reading import ReadingPlan
from figdoor_gateway.platform._client import PlatformClient
from figdoor_kernel import (
    AvailabilityZoneName,
    Extension,
    Node,
    ServiceName,
    Tick,
    Vm,
    VmId,
    VmList,
    VmListChanged,
    VmState,
)

TIMEOUT_MS = 2000


class HttpVmListSource:
    """Reads ``GET /v1/vms`` when the plan says so.

    On errors the last list stays. An unchanged list is published again, since
    parts need to know that it was still the same then.
    """

    def __init__(self, node: Node) -> None:
        """Use the platform that the settings name."""
        self._node = node
        self._plan: ReadingPlan = node.part(Extension.SERVICE, 'reading-plan')
        self._client = PlatformClient(node.settings.platform_url)
        self._reading: Deferred[Any] | None = None
        self._last: VmList | None = None
        self._is_running = False
        node.events.subscribe(Tick, self._on_tick)

    def start(self) -> None:
        """Begin to read."""
        self._is_running = True

    def stop(self) -> None:
        """End a read that is under way."""
        self._is_running = False
        if self._reading is not None:
            self._reading.cancel()

    def _on_tick(self, event: Tick) -> None:
        if not self._is_running or self._reading is not None:
            return
        if self._plan.may_read_vm_list(event.now_ms):
            self._reading = self._client.get('/v1/vms', TIMEOUT_MS)
            self._reading.addCallback(self._take)
            self._reading.addErrback(self._fail)
            self._reading.addBoth(self._end)

    def _take(self, answer: Any) -> None:
        if answer is not None:
            self._last = read_vm_list(answer['vms'])
        if self._last is not None:
            now_ms = self._node.clock.now_ms()
            self._node.events.publish(VmListChanged(self._last, now_ms))

    def _fail(self, failure: Failure) -> None:
        if self._is_running:
            logger.warning('VM list: {!r}', failure.value)

    def _end(self, _: object) -> None:
        self._reading = None


def read_vm_list(rows: Sequence[Mapping[str, Any]]) -> VmList:
    """Return typed values; raises ``KeyError`` or ``ValueError``."""
    return VmList(
        tuple(
            Vm(
                VmId(str(row['id'])),
                ServiceName(str(row['service'])),
                AvailabilityZoneName(str(row['availability_zone'])),
                str(row['host']),
                int(row['port']),
                VmState(row['state']),
            )
            for row in rows
        ),
    )

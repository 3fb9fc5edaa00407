"""Reads the platform's VM list when the plan says so."""

from collections.abc import Mapping, Sequence
from typing import Any

from loguru import logger
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from figdoor_gateway.platform._reader import PlatformReader
from figdoor_kernel import (
    AvailabilityZoneName,
    Node,
    ServiceName,
    Vm,
    VmId,
    VmList,
    VmListChanged,
    VmState,
)

TIMEOUT_MS = 2000


class HttpVmListSource(PlatformReader):
    """Reads ``GET /v1/vms`` when the plan says so.

    On errors the last list stays. An unchanged list is published again, since
    parts need to know that it was still the same then.
    """

    def __init__(self, node: Node) -> None:
        """Use the platform that the settings name."""
        super().__init__(node)
        self._last: VmList | None = None

    def _begin_read(self, now_ms: float) -> Deferred[Any] | None:
        if not self._plan.may_read_vm_list(now_ms):
            return None
        reading = self._client.get('/v1/vms', TIMEOUT_MS)
        reading.addCallback(self._take)
        reading.addErrback(self._fail)
        return reading

    def _take(self, answer: Any) -> None:
        if answer is not None:
            self._last = read_vm_list(answer['vms'])
        if self._last is not None:
            now_ms = self._node.clock.now_ms()
            self._node.events.publish(VmListChanged(self._last, now_ms))

    def _fail(self, failure: Failure) -> None:
        if self._is_running:
            logger.warning('VM list: {!r}', failure.value)


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

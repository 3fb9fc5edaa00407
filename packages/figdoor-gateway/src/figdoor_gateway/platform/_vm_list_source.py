"""Reads the platform's VM list when the plan says so."""

from collections.abc import Mapping, Sequence
from typing import Any

from loguru import logger
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from figdoor_decisions.listing import VmListRead, VmLists
from figdoor_gateway.platform._client import MethodRefusedError
from figdoor_gateway.platform._reader import PlatformReader
from figdoor_kernel import (
    AvailabilityZoneName,
    Extension,
    Node,
    ServiceName,
    Vm,
    VmId,
    VmList,
    VmState,
)

TIMEOUT_MS = 2000
_PATH = '/v1/vms'


class HttpVmListSource(PlatformReader):
    """Reads ``/v1/vms`` with ``GET``, or only its ``ETag`` with ``HEAD``.

    On errors the last list stays. An unchanged list is published again, since
    parts need to know that it was still the same then.
    """

    def __init__(self, node: Node) -> None:
        """Use the platform that the settings name."""
        super().__init__(node)
        self._lists: VmLists = node.part(Extension.SERVICE, 'vm-lists')

    def _begin_read(self, now_ms: float) -> Deferred[Any] | None:
        planned = self._lists.next_read(now_ms)
        if planned is None:
            return None
        # The list in use may have come from peers.
        self._client.etags[_PATH] = self._lists.version
        reading: Deferred[Any]
        if planned is VmListRead.CHECK:
            reading = self._client.check(_PATH, TIMEOUT_MS)
            reading.addCallback(self._take_mark)
        else:
            reading = self._client.get(_PATH, TIMEOUT_MS)
            reading.addCallback(self._take)
        reading.addErrback(self._fail)
        return reading

    def _take(self, answer: Any) -> None:
        now_ms = self._node.clock.now_ms()
        if answer is None:
            self._lists.receive_unchanged(now_ms)
            return
        mark = self._client.etags.get(_PATH, '')
        self._lists.receive_list(mark, read_vm_list(answer['vms']), now_ms)

    def _take_mark(self, mark: str | None) -> None:
        now_ms = self._node.clock.now_ms()
        if mark is None:
            self._lists.receive_unchanged(now_ms)
        else:
            self._lists.receive_version(mark, now_ms)

    def _fail(self, failure: Failure) -> None:
        if failure.check(MethodRefusedError):
            self._lists.stop_version_checks()
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

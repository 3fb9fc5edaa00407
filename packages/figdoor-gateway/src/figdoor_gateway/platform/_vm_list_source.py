"""Reads the platform's VM list on a schedule."""

from collections.abc import Mapping, Sequence
from typing import Any

from loguru import logger
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from figdoor_decisions.listing import VmListRead, VmLists
from figdoor_gateway.platform._client import MethodNotSupportedError
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

    After an error the last list stays in use. An unchanged list is published
    again, so that its readers know that it is still current.
    """

    def __init__(self, node: Node) -> None:
        """Look up the VM lists, which decide what to read."""
        super().__init__(node)
        self._lists: VmLists = node.part(Extension.SERVICE, 'vm-lists')

    def _begin_read(self, now_ms: float) -> Deferred[Any] | None:
        planned = self._lists.next_read(now_ms)
        if planned is None:
            return None
        # Differences from peers may have replaced the list that was read last.
        self._client.etags[_PATH] = self._lists.version
        reading: Deferred[Any]
        if planned is VmListRead.CHECK:
            reading = self._client.get_etag(_PATH, TIMEOUT_MS)
            reading.addCallback(self._on_etag)
        else:
            reading = self._client.get(_PATH, TIMEOUT_MS)
            reading.addCallback(self._on_list)
        reading.addErrback(self._on_failure)
        return reading

    def _on_list(self, fields: Any) -> None:
        now_ms = self._node.clock.now_ms()
        if fields is None:
            self._lists.receive_unchanged(now_ms)
            return
        etag = self._client.etags.get(_PATH, '')
        self._lists.receive_list(etag, read_vm_list(fields['vms']), now_ms)

    def _on_etag(self, etag: str | None) -> None:
        now_ms = self._node.clock.now_ms()
        if etag is None:
            self._lists.receive_unchanged(now_ms)
        else:
            self._lists.receive_version(etag, now_ms)

    def _on_failure(self, failure: Failure) -> None:
        if failure.check(MethodNotSupportedError):
            self._lists.stop_version_checks()
        if self._is_running:
            logger.warning(
                'cannot read /v1/vms, keeping the last VM list: {!r}',
                failure.value,
            )


def read_vm_list(rows: Sequence[Mapping[str, Any]]) -> VmList:
    """Return the VM list; raises ``KeyError`` or ``ValueError``."""
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

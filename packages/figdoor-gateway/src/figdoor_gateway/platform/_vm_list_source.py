"""Polls the platform's VM list."""

from collections.abc import Mapping, Sequence
from typing import Any

from loguru import logger
from twisted.internet.defer import CancelledError, Deferred

from figdoor_gateway.platform._client import (
    PlatformClient,
    ignore_cancellation,
    raise_if_cancelled,
    sleep_ms,
)
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

POLL_INTERVAL_MS = 500
TIMEOUT_MS = 2000


class HttpVmListSource:
    """Reads ``GET /v1/vms`` again and again; keeps the last list on errors."""

    def __init__(self, node: Node) -> None:
        """Use the platform that the settings name."""
        self._node = node
        self._client = PlatformClient(node.settings.platform_url)
        self._running: Deferred[None] | None = None

    def start(self) -> None:
        """Begin to poll."""
        self._running = Deferred.fromCoroutine(self._poll())
        self._running.addErrback(ignore_cancellation)

    def stop(self) -> None:
        """End polling."""
        if self._running is not None:
            self._running.cancel()

    async def _poll(self) -> None:
        while True:
            try:
                await self._read()
            except CancelledError:
                raise
            except Exception as error:
                raise_if_cancelled(error)
                logger.warning('VM list: {!r}', error)
            jitter = 1 + self._node.random.random()
            await sleep_ms(POLL_INTERVAL_MS * jitter)

    async def _read(self) -> None:
        answer = await self._client.get('/v1/vms', TIMEOUT_MS)
        if answer is None:
            return
        node = self._node
        node.events.publish(
            VmListChanged(read_vm_list(answer['vms']), node.clock.now_ms()),
        )


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

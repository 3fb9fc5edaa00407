"""Watches the tables on the configuration service."""

from loguru import logger
from twisted.internet.defer import CancelledError, Deferred

from figdoor_gateway.platform._client import (
    PlatformClient,
    ignore_cancellation,
    raise_if_cancelled,
    sleep_ms,
)
from figdoor_kernel import Node, Revision, ServiceConfirmed, TablesOffered

WATCH_WAIT_MS = 1000
TIMEOUT_MARGIN_MS = 500
RETRY_DELAY_MS = 500


class HttpConfigSource:
    """Holds one waiting watch at a time, ``GET /v1/tables``."""

    def __init__(self, node: Node) -> None:
        """Use the platform that the settings name."""
        self._node = node
        self._client = PlatformClient(node.settings.platform_url)
        self._running: Deferred[None] | None = None
        self._offered = Revision(0)

    def start(self) -> None:
        """Begin to watch."""
        self._running = Deferred.fromCoroutine(self._watch())
        self._running.addErrback(ignore_cancellation)

    def stop(self) -> None:
        """End the watch."""
        if self._running is not None:
            self._running.cancel()

    async def _watch(self) -> None:
        wait_ms = 0
        while True:
            started_ms = self._node.clock.now_ms()
            try:
                await self._read(started_ms, wait_ms)
            except CancelledError:
                raise
            except Exception as error:
                raise_if_cancelled(error)
                logger.warning('configuration service: {!r}', error)
                jitter = 1 + self._node.random.random()
                await sleep_ms(RETRY_DELAY_MS * jitter)
            wait_ms = WATCH_WAIT_MS

    async def _read(self, started_ms: float, wait_ms: float) -> None:
        answer = await self._client.get(
            '/v1/tables',
            wait_ms + TIMEOUT_MARGIN_MS,
            after=str(self._offered),
            wait_ms=str(wait_ms),
        )
        node = self._node
        if answer is not None:
            self._offered = Revision(int(answer['revision']))
            node.events.publish(
                TablesOffered(
                    self._offered,
                    str(answer['routes']),
                    str(answer['pools']),
                    node.clock.now_ms(),
                ),
            )
        node.events.publish(ServiceConfirmed(started_ms, self._offered))

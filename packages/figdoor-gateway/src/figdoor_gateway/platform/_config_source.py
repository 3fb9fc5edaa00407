"""Reads the tables from the configuration service when the plan says so."""

from typing import Any

from loguru import logger
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from figdoor_decisions.configuration import Acceptance
from figdoor_decisions.reading import ReadingPlan
from figdoor_gateway.platform._client import PlatformClient
from figdoor_kernel import (
    Extension,
    Node,
    Revision,
    ServiceConfirmed,
    ServiceFailed,
    TablesOffered,
    Tick,
)

# The service answers in milliseconds. A read that hangs must fail early
# enough for the next one to keep a lease of 2 s.
TIMEOUT_MARGIN_MS = 250


class HttpConfigSource:
    """Has at most one ``GET /v1/tables`` under way."""

    def __init__(self, node: Node) -> None:
        """Use the platform that the settings name."""
        self._node = node
        self._plan: ReadingPlan = node.part(Extension.SERVICE, 'reading-plan')
        self._acceptance: Acceptance = node.part(
            Extension.SERVICE,
            'acceptance',
        )
        self._client = PlatformClient(node.settings.platform_url)
        self._reading: Deferred[Any] | None = None
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
        planned = self._plan.next_tables_read(event.now_ms)
        if planned is not None:
            known = self._acceptance.known_revision
            self._reading = self._client.get(
                '/v1/tables',
                planned.wait_ms + TIMEOUT_MARGIN_MS,
                after=str(known),
                wait_ms=str(planned.wait_ms),
            )
            self._reading.addCallback(self._take, event.now_ms, known)
            self._reading.addErrback(self._fail, event.now_ms)
            self._reading.addBoth(self._end)

    def _take(self, answer: Any, started_ms: float, known: Revision) -> None:
        events = self._node.events
        revision = known
        if answer is not None:
            revision = Revision(int(answer['revision']))
            events.publish(
                TablesOffered(
                    revision,
                    str(answer['routes']),
                    str(answer['pools']),
                    self._node.clock.now_ms(),
                ),
            )
        events.publish(ServiceConfirmed(started_ms, revision))

    def _fail(self, failure: Failure, started_ms: float) -> None:
        if self._is_running:
            logger.warning('configuration service: {!r}', failure.value)
            now_ms = self._node.clock.now_ms()
            self._node.events.publish(ServiceFailed(started_ms, now_ms))

    def _end(self, _: object) -> None:
        self._reading = None

"""Reads the tables from the configuration service on a schedule."""

from typing import Any

from loguru import logger
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from figdoor_decisions.configuration import Acceptance
from figdoor_gateway.platform._reader import PlatformReader
from figdoor_kernel import (
    ConfigReadFailed,
    ConfigReadSucceeded,
    Extension,
    Node,
    Revision,
    TablesOffered,
)

# The service answers in milliseconds. A read that hangs must fail early
# enough for the next one to renew a lease of 2 s.
TIMEOUT_MARGIN_MS = 250


class HttpConfigSource(PlatformReader):
    """Sends at most one ``GET /v1/tables`` at a time."""

    def __init__(self, node: Node) -> None:
        """Look up the acceptance, which knows the newest revision."""
        super().__init__(node)
        self._acceptance: Acceptance = node.part(
            Extension.SERVICE,
            'acceptance',
        )

    def _begin_read(self, now_ms: float) -> Deferred[Any] | None:
        planned = self._plan.next_tables_read(now_ms)
        if planned is None:
            return None
        known_revision = self._acceptance.known_revision
        reading = self._client.get(
            '/v1/tables',
            planned.wait_ms + TIMEOUT_MARGIN_MS,
            after=str(known_revision),
            wait_ms=str(planned.wait_ms),
        )
        reading.addCallback(self._on_tables, now_ms, known_revision)
        reading.addErrback(self._on_failure, now_ms)
        return reading

    def _on_tables(
        self,
        fields: Any,
        started_ms: float,
        known_revision: Revision,
    ) -> None:
        events = self._node.events
        revision = known_revision
        if fields is not None:
            revision = Revision(int(fields['revision']))
            events.publish(
                TablesOffered(
                    revision,
                    str(fields['routes']),
                    str(fields['pools']),
                    self._node.clock.now_ms(),
                    str(fields.get('tenants') or ''),
                ),
            )
        events.publish(ConfigReadSucceeded(started_ms, revision))

    def _on_failure(self, failure: Failure, started_ms: float) -> None:
        if self._is_running:
            logger.warning(
                'cannot read /v1/tables, trying again: {!r}',
                failure.value,
            )
            now_ms = self._node.clock.now_ms()
            self._node.events.publish(ConfigReadFailed(started_ms, now_ms))

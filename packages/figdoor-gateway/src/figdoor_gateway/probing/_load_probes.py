"""``GET /load`` on upstreams, over connections of their own."""

from typing import Any

from loguru import logger
from twisted.internet.defer import Deferred
from twisted.web.client import readBody

from figdoor_gateway.agents import make_client
from figdoor_gateway.headers import LOAD, read_load_report
from figdoor_gateway.loop import MS_PER_SECOND, reactor
from figdoor_kernel import (
    Node,
    ProbeEnded,
    ProbeRequested,
    ReportSeen,
    Upstream,
)

PROBE_PATH = '/load'
PROBE_TIMEOUT_MS = 500
_OK = 200


class LoadProbes:
    """Sends one request for each ``ProbeRequested`` and never a second one.

    The connection is closed after the answer, because a probe of each
    upstream comes seconds after the one before.
    """

    def __init__(self, node: Node, http: Any = None) -> None:
        """Wait for probes that are wanted; ``http`` is a client like treq."""
        self._node = node
        self._http = http or make_client(PROBE_TIMEOUT_MS, persistent=False)
        self._running: set[Deferred[None]] = set()
        node.events.subscribe(ProbeRequested, self._on_wanted)

    def start(self) -> None:
        """Need no start."""

    def stop(self) -> None:
        """Give up all probes under way."""
        for probe in tuple(self._running):
            probe.cancel()

    def _on_wanted(self, event: ProbeRequested) -> None:
        upstream = self._node.fleet.find(event.upstream)
        if upstream is None:
            return
        probe = Deferred.fromCoroutine(self._probe(upstream))
        self._running.add(probe)
        probe.addBoth(lambda _: self._running.discard(probe))

    async def _probe(self, upstream: Upstream) -> None:
        started_ms = self._node.clock.now_ms()
        asked = Deferred.fromCoroutine(self._ask(upstream))
        asked.addTimeout(PROBE_TIMEOUT_MS / MS_PER_SECOND, reactor)
        try:
            succeeded = await asked
        except Exception as error:
            logger.debug('probe of {}: {!r}', upstream.upstream_id, error)
            succeeded = False
        now_ms = self._node.clock.now_ms()
        latency_ms = now_ms - started_ms
        ended = ProbeEnded(upstream.upstream_id, latency_ms, succeeded, now_ms)
        self._node.events.publish(ended)

    async def _ask(self, upstream: Upstream) -> bool:
        """Return whether a report arrived."""
        host = f'[{upstream.host}]' if ':' in upstream.host else upstream.host
        response = await self._http.get(
            f'http://{host}:{upstream.port}{PROBE_PATH}',
            unbuffered=True,
            allow_redirects=False,
        )
        await readBody(response)
        texts = response.headers.getRawHeaders(LOAD, ())
        report = read_load_report(texts[0]) if texts else None
        if response.code != _OK or report is None:
            return False
        now_ms = self._node.clock.now_ms()
        self._node.events.publish(
            ReportSeen(upstream.upstream_id, report, now_ms),
        )
        return True

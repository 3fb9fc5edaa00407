"""Load probes, which send ``GET /load`` over connections of their own."""

from typing import Any

from loguru import logger
from twisted.internet.defer import Deferred

from figdoor_gateway import agents, bodies
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
# The load report is in a header; upstreams have nothing to say in the body.
MAX_BODY_BYTES = 65_536
_OK = 200


class LoadProbes:
    """Sends exactly one request for each ``ProbeRequested``.

    The connection is closed after the response, because the next probe of the
    same upstream follows only seconds later.
    """

    def __init__(self, node: Node, http: Any = None) -> None:
        """Subscribe to probe requests; ``http`` is a client like treq."""
        self._node = node
        self._http = http or agents.make_client(
            PROBE_TIMEOUT_MS,
            persistent=False,
        )
        self._in_flight: set[Deferred[None]] = set()
        node.events.subscribe(ProbeRequested, self._on_probe_requested)

    def start(self) -> None:
        """Do nothing, since probes start on request."""

    def stop(self) -> None:
        """Cancel all probes in flight."""
        for probe in tuple(self._in_flight):
            probe.cancel()

    def _on_probe_requested(self, event: ProbeRequested) -> None:
        upstream = self._node.fleet.find(event.upstream)
        if upstream is None:
            return
        probe = Deferred.fromCoroutine(self._probe(upstream))
        self._in_flight.add(probe)
        probe.addBoth(lambda _: self._in_flight.discard(probe))

    async def _probe(self, upstream: Upstream) -> None:
        started_ms = self._node.clock.now_ms()
        report_request = Deferred.fromCoroutine(self._fetch_report(upstream))
        report_request.addTimeout(PROBE_TIMEOUT_MS / MS_PER_SECOND, reactor)
        try:
            succeeded = await report_request
        except Exception as error:
            logger.debug(
                'probe of {} failed: {!r}', upstream.upstream_id, error
            )
            succeeded = False
        now_ms = self._node.clock.now_ms()
        latency_ms = now_ms - started_ms
        ended = ProbeEnded(upstream.upstream_id, latency_ms, succeeded, now_ms)
        self._node.events.publish(ended)

    async def _fetch_report(self, upstream: Upstream) -> bool:
        """Send the probe; return whether the response had a load report."""
        host = f'[{upstream.host}]' if ':' in upstream.host else upstream.host
        response = await self._http.get(
            f'http://{host}:{upstream.port}{PROBE_PATH}',
            unbuffered=True,
            allow_redirects=False,
        )
        await bodies.read_body(response, MAX_BODY_BYTES)
        report_headers = response.headers.getRawHeaders(LOAD, ())
        report = read_load_report(report_headers[0]) if report_headers else None
        if response.code != _OK or report is None:
            return False
        now_ms = self._node.clock.now_ms()
        self._node.events.publish(
            ReportSeen(upstream.upstream_id, report, now_ms),
        )
        return True

"""Health probes over the same connections that carry requests.

An answered probe also shows that its connection works. The next request reuses
this connection, since the pool returns the one that was used last.
"""

from collections.abc import Callable, Mapping
from functools import partial

from figdoor_gateway.loop import Timer, call_later, cancel
from figdoor_gateway.protocols import (
    Dialect,
    RequestHandle,
    ResponseHead,
    UpstreamTransport,
)
from figdoor_kernel import (
    BackoffRequested,
    Extension,
    LeavingSeen,
    LoadReport,
    Node,
    ProbeEnded,
    ProbeRequested,
    ReportSeen,
    Service,
    ServiceName,
    TablesAccepted,
    Upstream,
)

# Several times the response time of an upstream in another zone.
PROBE_TIMEOUT_MS = 50.0
# The second attempt is for an idle connection that had died.
MAX_ATTEMPTS = 2


class HealthProbes(Service):
    """Sends one probe for each ``ProbeRequested``."""

    def __init__(self, node: Node) -> None:
        """Subscribe to probe requests, and to tables for the health paths."""
        self._node = node
        self._health_paths: Mapping[ServiceName, str] = {}
        self._in_flight: set[_Probe] = set()
        self._dialect: Dialect = node.part(
            Extension.DIALECT,
            node.settings.dialect,
        )
        self._transport: UpstreamTransport = node.part(
            Extension.UPSTREAM_TRANSPORT,
            'http',
        )
        node.events.subscribe(TablesAccepted, self._on_tables)
        node.events.subscribe(ProbeRequested, self._on_probe_requested)

    def stop(self) -> None:
        """Cancel all probes in flight."""
        for probe in tuple(self._in_flight):
            probe.cancel()

    def _on_tables(self, event: TablesAccepted) -> None:
        self._health_paths = {
            pool.service: pool.health_path
            for pool in event.tables.pools.values()
        }

    def _on_probe_requested(self, event: ProbeRequested) -> None:
        upstream = self._node.fleet.find(event.upstream)
        if upstream is None:
            return
        probe = _Probe(
            upstream,
            self._dialect,
            partial(self._publish_result, upstream, event.now_ms),
        )
        self._in_flight.add(probe)
        path = self._health_paths.get(upstream.service, '')
        probe.start(self._transport, path)

    def _publish_result(
        self,
        upstream: Upstream,
        started_ms: float,
        probe: '_Probe',
        report: LoadReport | None,
    ) -> None:
        self._in_flight.discard(probe)
        events = self._node.events
        now_ms = self._node.clock.now_ms()
        upstream_id = upstream.upstream_id
        head = probe.head
        if head is not None and head.leaving:
            events.notify(LeavingSeen(upstream_id, now_ms), now_ms)
        if head is not None and head.backoff_ms:
            backoff = BackoffRequested(upstream_id, head.backoff_ms, now_ms)
            events.notify(backoff, now_ms)
        if report is not None:
            events.notify(ReportSeen(upstream_id, report, now_ms), now_ms)
        latency_ms = now_ms - started_ms
        succeeded = report is not None and not report.draining
        ended = ProbeEnded(upstream_id, latency_ms, succeeded, now_ms)
        events.notify(ended, now_ms)


class _Probe:
    """Receiver of the response to one probe."""

    def __init__(
        self,
        upstream: Upstream,
        dialect: Dialect,
        on_end: Callable[['_Probe', LoadReport | None], None],
    ) -> None:
        self._upstream = upstream
        self._dialect = dialect
        self._on_end = on_end
        self._report: LoadReport | None = None
        self.head: ResponseHead | None = None
        self._request_handle: RequestHandle | None = None
        self._timer: Timer | None = None
        self._attempt_count = 0
        self._is_finished = False
        self._retry: Callable[[], None] = self._fail

    def start(self, transport: UpstreamTransport, path: str) -> None:
        """Send the probe, with one timeout for all attempts."""
        self._timer = call_later(PROBE_TIMEOUT_MS, self._fail)
        self._retry = partial(self._send, transport, path)
        self._retry()

    def cancel(self) -> None:
        """Cancel the probe; no result is published."""
        self._is_finished = True
        cancel(self._timer)
        if self._request_handle is not None:
            self._request_handle.cancel()

    def confirm_send(self) -> bool:
        """Allow it unless the probe has ended; no rule applies to probes."""
        return not self._is_finished

    def on_unsent(self, refused: bool) -> None:
        """End the probe as failed, since no request was sent."""
        self._finish(None)

    def on_head(self, head: ResponseHead) -> None:
        """Read the load report; keep a head that is from the upstream."""
        if self._dialect.is_from(self._upstream, head.headers):
            self.head = head
        self._report = self._dialect.probe_report(
            self._upstream,
            head.status,
            head.headers,
        )

    def on_body(self, data: bytes) -> None:
        """Ignore the body."""

    def flush(self) -> None:
        """Do nothing until the response is complete."""

    def on_complete(self) -> None:
        """End the probe with the report."""
        self._finish(self._report)

    def on_lost(self, connection_died: bool) -> None:
        """Retry if the connection died, else end the probe as failed."""
        if connection_died and self._attempt_count < MAX_ATTEMPTS:
            self._retry()
        else:
            self._finish(None)

    def _send(self, transport: UpstreamTransport, path: str) -> None:
        self._attempt_count += 1
        attempt_number = self._attempt_count
        handle = transport.send(
            self._upstream,
            self._dialect.probe(path),
            self,
        )
        # During ``send`` the probe may have been retried or have ended.
        if attempt_number == self._attempt_count and not self._is_finished:
            self._request_handle = handle

    def _fail(self) -> None:
        if self._request_handle is not None:
            self._request_handle.cancel()
        self._finish(None)

    def _finish(self, report: LoadReport | None) -> None:
        if self._is_finished:
            return
        self._is_finished = True
        cancel(self._timer)
        self._on_end(self, report)

"""Probes over the very connections that carry requests.

An answered probe thus also proves that the connection works, and the request
that follows takes the connection that was used last.
"""

from collections.abc import Callable, Mapping
from functools import partial

from figdoor_gateway.loop import Timer, call_later, cancel
from figdoor_gateway.protocols import (
    AnswerHead,
    Dialect,
    Sending,
    UpstreamTransport,
)
from figdoor_kernel import (
    Extension,
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

# Several times what an answer from another zone takes.
PROBE_TIMEOUT_MS = 50.0
# The second try opens a connection where a kept one had died.
MAX_TRIES = 2


class HealthProbes(Service):
    """Sends one probe for each ``ProbeRequested``."""

    def __init__(self, node: Node) -> None:
        """Follow the tables, which name the path of each service."""
        self._node = node
        self._paths: Mapping[ServiceName, str] = {}
        self._running: set[_Probe] = set()
        self._dialect: Dialect = node.part(
            Extension.DIALECT,
            node.settings.dialect,
        )
        self._transport: UpstreamTransport = node.part(
            Extension.UPSTREAM_TRANSPORT,
            'http',
        )
        node.events.subscribe(TablesAccepted, self._on_tables)
        node.events.subscribe(ProbeRequested, self._on_wanted)

    def stop(self) -> None:
        """Give up all probes under way."""
        for probe in tuple(self._running):
            probe.cancel()

    def _on_tables(self, event: TablesAccepted) -> None:
        self._paths = {
            pool.service: pool.health_path
            for pool in event.tables.pools.values()
        }

    def _on_wanted(self, event: ProbeRequested) -> None:
        upstream = self._node.fleet.find(event.upstream)
        if upstream is None:
            return
        probe = _Probe(
            upstream,
            self._dialect,
            partial(self._end, upstream, event.now_ms),
        )
        self._running.add(probe)
        path = self._paths.get(upstream.service, '')
        probe.start(self._transport, path)

    def _end(
        self,
        upstream: Upstream,
        started_ms: float,
        probe: '_Probe',
        report: LoadReport | None,
    ) -> None:
        self._running.discard(probe)
        events = self._node.events
        now_ms = self._node.clock.now_ms()
        upstream_id = upstream.upstream_id
        if report is not None:
            events.publish(ReportSeen(upstream_id, report, now_ms))
        latency_ms = now_ms - started_ms
        succeeded = report is not None and not report.draining
        events.publish(ProbeEnded(upstream_id, latency_ms, succeeded, now_ms))


class _Probe:
    """The receiver of one probe's answer."""

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
        self._sending: Sending | None = None
        self._timer: Timer | None = None
        self._tries = 0
        self._is_over = False
        self._again: Callable[[], None] = self._fail

    def start(self, transport: UpstreamTransport, path: str) -> None:
        """Send the probe, within a time limit for all tries."""
        self._timer = call_later(PROBE_TIMEOUT_MS, self._fail)
        self._again = partial(self._send, transport, path)
        self._again()

    def cancel(self) -> None:
        """Give up without a report."""
        self._is_over = True
        cancel(self._timer)
        if self._sending is not None:
            self._sending.cancel()

    def may_send(self) -> bool:
        """Probes run nothing, so nothing forbids one."""
        return not self._is_over

    def unsent(self, refused: bool) -> None:
        """Note that the upstream took no connection."""
        self._finish(None)

    def head(self, head: AnswerHead) -> None:
        """Read the report."""
        self._report = self._dialect.probe_report(
            self._upstream,
            head.status,
            head.headers,
        )

    def body(self, data: bytes) -> None:
        """Drop the body."""

    def flush(self) -> None:
        """Wait for the rest."""

    def complete(self) -> None:
        """Report what the answer said."""
        self._finish(self._report)

    def lost(self, connection_died: bool) -> None:
        """Try a new connection where a kept one died."""
        if connection_died and self._tries < MAX_TRIES:
            self._again()
        else:
            self._finish(None)

    def _send(self, transport: UpstreamTransport, path: str) -> None:
        self._tries += 1
        tries = self._tries
        sending = transport.send(
            self._upstream,
            self._dialect.probe(path),
            self,
        )
        if tries == self._tries and not self._is_over:
            self._sending = sending

    def _fail(self) -> None:
        if self._sending is not None:
            self._sending.cancel()
        self._finish(None)

    def _finish(self, report: LoadReport | None) -> None:
        if self._is_over:
            return
        self._is_over = True
        cancel(self._timer)
        self._on_end(self, report)

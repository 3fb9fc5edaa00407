"""What the last probes said, and how much of it still holds."""

from dataclasses import dataclass

from figdoor_decisions.load_probing._failures import UpstreamFailures
from figdoor_kernel import (
    AttemptStarted,
    Extension,
    LoadReport,
    Node,
    ProbeEnded,
    ReportSeen,
    Service,
    Upstream,
    UpstreamId,
    VmListChanged,
)

# The speed of a shared machine changes about every 300 ms.
FRESH_MS = 40.0
# Work takes about this much longer once four fifths of the slots are busy.
KNEE_SHARE = 0.8
KNEE_FACTOR = 1.7
# Requests that an upstream may queue before it counts as full. Upstreams
# refuse, reset or drop what their queue does not hold.
QUEUE_ROOM = 2
# An answer that fails is worth nothing, so a failing upstream is taken only
# where all others are several times slower.
FAILURE_COST = 6.0


@dataclass(slots=True)
class _Load:
    """The last report of a probe, and what has changed since."""

    report: LoadReport | None = None
    probed_at_ms: float = float('-inf')
    started_since: int = 0


class FreshLoads(Service):
    """Keeps the reports that came with answered probes."""

    def __init__(self, node: Node) -> None:
        """Follow probes and own attempts."""
        self._fleet = node.fleet
        self._failures: UpstreamFailures = node.part(
            Extension.SERVICE,
            'upstream-failures',
        )
        self._loads: dict[UpstreamId, _Load] = {}
        node.events.subscribe(ReportSeen, self._on_report)
        node.events.subscribe(ProbeEnded, self._on_probe)
        node.events.subscribe(AttemptStarted, self._on_started)
        node.events.subscribe(VmListChanged, self._on_vm_list)

    def is_fresh(self, upstream: Upstream, now_ms: float) -> bool:
        """Return whether a probe was answered a moment ago."""
        load = self._loads.get(upstream.upstream_id)
        return load is not None and now_ms - load.probed_at_ms <= FRESH_MS

    def is_cold(self, upstream: Upstream, now_ms: float) -> bool:
        """Return whether the upstream's entry or a probe says so."""
        if upstream.warm_at_ms > now_ms:
            return True
        load = self._loads.get(upstream.upstream_id)
        if load is None or load.report is None:
            return False
        age_ms = now_ms - load.probed_at_ms
        return load.report.cold_ms > age_ms

    def slowness(self, upstream: Upstream, now_ms: float) -> float | None:
        """Return the expected time of one more request.

        It is a multiple of the usual time of the work, or ``None`` where the
        upstream is full or its load is not known. Failing upstreams count as
        slower than they are.
        """
        pace = self.pace(upstream)
        if pace is None:
            return None
        return pace * (
            1 + FAILURE_COST * self._failures.share(upstream, now_ms)
        )

    def pace(self, upstream: Upstream, added: int = 1) -> float | None:
        """Return how long work takes there with more requests.

        It is a multiple of the usual time, ``None`` where the upstream is full
        or its load is not known.
        """
        use = self._use(upstream)
        if use is None:
            return None
        report, running, slots = use
        requests = running + added
        if requests > slots + QUEUE_ROOM:
            return None
        factor = report.slowness
        if requests >= KNEE_SHARE * slots:
            factor *= KNEE_FACTOR
        return factor * (1 + max(0, requests - slots) / slots)

    def is_below_knee(self, upstream: Upstream) -> bool:
        """Return whether one more request slows no other down."""
        use = self._use(upstream)
        if use is None:
            return False
        _, running, slots = use
        return running + 1 < KNEE_SHARE * slots

    def _use(self, upstream: Upstream) -> tuple[LoadReport, int, int] | None:
        """Return the last report, the requests there by now, and the slots."""
        load = self._loads.get(upstream.upstream_id)
        if load is None or load.report is None:
            return None
        report = load.report
        requests = report.running + report.waiting + load.started_since
        return report, requests, report.slots or upstream.slots or 1

    def _on_report(self, event: ReportSeen) -> None:
        load = self._loads.setdefault(event.upstream, _Load())
        # Answers to requests say nothing of a cold start.
        if load.report is None or event.report.instance:
            load.report = event.report
            load.started_since = 0

    def _on_probe(self, event: ProbeEnded) -> None:
        load = self._loads.setdefault(event.upstream, _Load())
        load.probed_at_ms = event.now_ms if event.succeeded else float('-inf')

    def _on_started(self, event: AttemptStarted) -> None:
        load = self._loads.get(event.upstream)
        if load is not None:
            load.started_since += 1

    def _on_vm_list(self, event: VmListChanged) -> None:
        self._fleet.drop_unlisted(self._loads)

"""Loads of upstreams according to their last probes."""

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

# The speed of a shared machine changes about every 300 ms, so a probe is valid
# for only a small part of that time.
FRESH_MS = 40.0
# Work takes ``KNEE_FACTOR`` times as long once this share of the slots is busy.
KNEE_SHARE = 0.8
KNEE_FACTOR = 1.7
# Requests that an upstream may queue before it counts as full. Upstreams
# refuse, reset or drop the requests beyond the capacity of their queue.
MAX_QUEUED = 2
# A failed answer is useless to the caller, so a failing upstream is selected
# only where all others are several times slower.
FAILURE_COST = 6.0


@dataclass(slots=True)
class _Load:
    """The last load report, and the attempts started since."""

    report: LoadReport | None = None
    probed_at_ms: float = float('-inf')
    started_since_report: int = 0


class FreshLoads(Service):
    """Estimates loads from reports, probes and the attempts of this node."""

    def __init__(self, node: Node) -> None:
        """Subscribe to reports, probes, own attempts and the VM list."""
        self._fleet = node.fleet
        self._failures: UpstreamFailures = node.part(
            Extension.SERVICE,
            'upstream-failures',
        )
        self._loads: dict[UpstreamId, _Load] = {}
        node.events.subscribe(ReportSeen, self._on_report)
        node.events.subscribe(ProbeEnded, self._on_probe_ended)
        node.events.subscribe(AttemptStarted, self._on_started)
        node.events.subscribe(VmListChanged, self._on_vm_list)

    def is_fresh(self, upstream: Upstream, now_ms: float) -> bool:
        """Return whether the last probe succeeded within ``FRESH_MS``."""
        load = self._loads.get(upstream.upstream_id)
        return load is not None and now_ms - load.probed_at_ms <= FRESH_MS

    def is_cold(self, upstream: Upstream, now_ms: float) -> bool:
        """Return whether the upstream is cold by the VM list or its report."""
        return self.cold_until_ms(upstream) > now_ms

    def cold_until_ms(self, upstream: Upstream) -> float:
        """Return the end of the last known cold period."""
        load = self._loads.get(upstream.upstream_id)
        if load is None or load.report is None:
            return upstream.warm_at_ms
        reported_ms = load.probed_at_ms + load.report.cold_ms
        return max(upstream.warm_at_ms, reported_ms)

    def cost(self, upstream: Upstream, now_ms: float) -> float | None:
        """Return ``time_factor``, raised by the recent failure rate.

        It is ``None`` where the upstream is full or its load is not known.
        """
        time_factor = self.time_factor(upstream)
        if time_factor is None:
            return None
        return time_factor * (
            1 + FAILURE_COST * self._failures.rate(upstream, now_ms)
        )

    def time_factor(self, upstream: Upstream, added: int = 1) -> float | None:
        """Return how long a request takes with ``added`` more requests.

        It is a multiple of the time that the work usually takes, or ``None``
        where the upstream is full or its load is not known.
        """
        occupancy = self._occupancy(upstream)
        if occupancy is None:
            return None
        report, running, slots = occupancy
        requests = running + added
        if requests > slots + MAX_QUEUED:
            return None
        factor = report.slowness
        if requests >= KNEE_SHARE * slots:
            factor *= KNEE_FACTOR
        return factor * (1 + max(0, requests - slots) / slots)

    def is_below_knee(self, upstream: Upstream) -> bool:
        """Return whether one more request would not slow down the others."""
        occupancy = self._occupancy(upstream)
        if occupancy is None:
            return False
        _, running, slots = occupancy
        return running + 1 < KNEE_SHARE * slots

    def _occupancy(
        self, upstream: Upstream
    ) -> tuple[LoadReport, int, int] | None:
        """Return the last report, the current request count and the slots."""
        load = self._loads.get(upstream.upstream_id)
        if load is None or load.report is None:
            return None
        report = load.report
        requests = report.running + report.waiting + load.started_since_report
        return report, requests, report.slots or upstream.slots or 1

    def _on_report(self, event: ReportSeen) -> None:
        load = self._loads.setdefault(event.upstream, _Load())
        # A report without an instance came with the answer to a request. It
        # does not say whether the upstream is cold, so it does not replace the
        # report of a probe.
        if load.report is None or event.report.instance:
            load.report = event.report
            load.started_since_report = 0

    def _on_probe_ended(self, event: ProbeEnded) -> None:
        load = self._loads.setdefault(event.upstream, _Load())
        load.probed_at_ms = event.now_ms if event.succeeded else float('-inf')

    def _on_started(self, event: AttemptStarted) -> None:
        load = self._loads.get(event.upstream)
        if load is not None:
            load.started_since_report += 1

    def _on_vm_list(self, event: VmListChanged) -> None:
        self._fleet.drop_unlisted(self._loads)

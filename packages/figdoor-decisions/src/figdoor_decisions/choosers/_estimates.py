"""Estimates of the load and the latency of each upstream."""

from dataclasses import dataclass, field
from math import exp

from figdoor_kernel import (
    AttemptEnded,
    AttemptStarted,
    AttemptState,
    Fleet,
    Node,
    ReportSeen,
    RouteName,
    UpstreamId,
    VmListChanged,
)

FAILURE_PENALTY_MS = 1000.0
# A slowdown lasts about 200 ms; with slower decay, a recovered upstream would
# stay unused.
LATENCY_DECAY_MS = 100.0
REPORT_HALF_LIFE_MS = 50.0
REPORT_EXPIRY_MS = 250.0
INITIAL_USUAL_MS = 10.0
USUAL_WEIGHT = 0.02
# Limits the effect of one slow answer on the usual latency.
MAX_USUAL_FACTOR = 3.0


@dataclass(slots=True)
class UpstreamEstimate:
    """Latency, load by other nodes and own attempts of one upstream.

    ``other_load`` is the number of running requests in the last report, minus
    this node's own attempts. ``started_ms`` maps each own attempt in flight to
    its start, the oldest first.
    """

    latency_ms: float = 0
    latency_at_ms: float = 0
    other_load: float = 0
    reported_at_ms: float = float('-inf')
    started_ms: dict[int, float] = field(default_factory=dict)

    def add_latency(self, latency_ms: float, now_ms: float) -> None:
        """Raise the latency to a higher one at once; it falls by decay."""
        self.latency_ms = max(latency_ms, self._decayed_ms(now_ms))
        self.latency_at_ms = now_ms

    def expected_ms(self, now_ms: float) -> float:
        """Return the higher of decayed latency and age of the oldest attempt.

        The age of unanswered attempts shows that an upstream is slow before
        any slow answer arrives.
        """
        decayed_ms = self._decayed_ms(now_ms)
        if not self.started_ms:
            return decayed_ms
        oldest_age_ms = now_ms - next(iter(self.started_ms.values()))
        return max(decayed_ms, oldest_age_ms)

    def load(
        self,
        in_flight: int,
        unknown: float,
        now_ms: float,
    ) -> float:
        """Return own attempts in flight plus the estimated load by others.

        The reported load decays to ``unknown``, which is used alone once the
        report has expired.
        """
        age_ms = now_ms - self.reported_at_ms
        if age_ms > REPORT_EXPIRY_MS:
            return in_flight + unknown
        weight: float = 0.5 ** (age_ms / REPORT_HALF_LIFE_MS)
        other_load = self.other_load * weight + unknown * (1 - weight)
        return in_flight + other_load

    def _decayed_ms(self, now_ms: float) -> float:
        elapsed_ms = max(0, now_ms - self.latency_at_ms)
        return self.latency_ms * exp(-elapsed_ms / LATENCY_DECAY_MS)


class Estimates:
    """Holds one estimate per listed upstream, updated by events.

    The usual latency of a route is a slow moving average over its answers.
    """

    def __init__(self, node: Node) -> None:
        """Subscribe to attempts, reports and the VM list."""
        self._fleet: Fleet = node.fleet
        self._estimates: dict[UpstreamId, UpstreamEstimate] = {}
        self._usual_ms: dict[RouteName, float] = {}
        node.events.subscribe(AttemptStarted, self._on_started)
        node.events.subscribe(AttemptEnded, self._on_ended)
        node.events.subscribe(ReportSeen, self._on_report)
        node.events.subscribe(VmListChanged, self._on_vm_list)

    def of(self, upstream_id: UpstreamId) -> UpstreamEstimate:
        """Return the estimate, a new one for an unknown upstream."""
        estimate = self._estimates.get(upstream_id)
        if estimate is None:
            estimate = UpstreamEstimate()
            self._estimates[upstream_id] = estimate
        return estimate

    def usual_ms(self, route: RouteName) -> float:
        """Return the usual latency of a route."""
        return self._usual_ms.get(route, INITIAL_USUAL_MS)

    def _on_started(self, event: AttemptStarted) -> None:
        estimate = self.of(event.upstream)
        estimate.started_ms[event.attempt_id] = event.now_ms

    def _on_ended(self, event: AttemptEnded) -> None:
        estimate = self.of(event.upstream)
        estimate.started_ms.pop(event.attempt_id, None)
        if event.failed or event.connection_died:
            estimate.add_latency(FAILURE_PENALTY_MS, event.now_ms)
        elif event.state in {AttemptState.ANSWERED, AttemptState.LOST}:
            estimate.add_latency(event.latency_ms, event.now_ms)
            self._update_usual(event.routed.route.name, event.latency_ms)

    def _update_usual(self, route: RouteName, latency_ms: float) -> None:
        usual_ms = self._usual_ms.get(route)
        if usual_ms is None:
            self._usual_ms[route] = latency_ms
            return
        bounded_ms = min(latency_ms, usual_ms * MAX_USUAL_FACTOR)
        self._usual_ms[route] += (bounded_ms - usual_ms) * USUAL_WEIGHT

    def _on_report(self, event: ReportSeen) -> None:
        upstream = self._fleet.find(event.upstream)
        if upstream is None:
            return
        # The attempt whose answer carries the report has ended at the upstream
        # but still counts as in flight here.
        own_attempts = max(0, upstream.in_flight - 1)
        estimate = self.of(event.upstream)
        estimate.other_load = max(0, event.report.running - own_attempts)
        estimate.reported_at_ms = event.now_ms

    def _on_vm_list(self, event: VmListChanged) -> None:
        self._fleet.drop_unlisted(self._estimates)

"""What a node knows of each upstream's load and speed."""

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
# A slowdown lasts about 200 ms; a longer memory leaves a recovered upstream
# unused.
LATENCY_MEMORY_MS = 100.0
REPORT_HALF_LIFE_MS = 50.0
REPORT_EXPIRY_MS = 250.0
FIRST_USUAL_MS = 10.0
USUAL_WEIGHT = 0.02
# One slow answer must not move the usual latency much.
USUAL_BOUND = 3.0


@dataclass(slots=True)
class UpstreamEstimate:
    """Latency, load from elsewhere and own attempts at one upstream.

    ``others`` is the running count of the last report without this node's
    own attempts. ``started_ms`` holds the start of each own attempt in
    flight, the oldest first.
    """

    latency_ms: float = 0
    latency_at_ms: float = 0
    others: float = 0
    others_at_ms: float = float('-inf')
    started_ms: dict[int, float] = field(default_factory=dict)

    def observe(self, latency_ms: float, now_ms: float) -> None:
        """Rise at once, sink slowly."""
        self.latency_ms = max(latency_ms, self._aged_ms(now_ms))
        self.latency_at_ms = now_ms

    def expected_ms(self, now_ms: float) -> float:
        """Return the aged estimate, or the age of the oldest own attempt.

        A slowed upstream shows in the attempts that it does not answer
        before any slow answer arrives.
        """
        aged_ms = self._aged_ms(now_ms)
        if not self.started_ms:
            return aged_ms
        waited_ms = now_ms - next(iter(self.started_ms.values()))
        return max(aged_ms, waited_ms)

    def load(
        self,
        in_flight: int,
        unknown: float,
        now_ms: float,
    ) -> float:
        """Return own attempts in flight plus the aged count of others.

        ``unknown`` is what a report that has expired counts for.
        """
        age_ms = now_ms - self.others_at_ms
        if age_ms > REPORT_EXPIRY_MS:
            return in_flight + unknown
        fresh: float = 0.5 ** (age_ms / REPORT_HALF_LIFE_MS)
        others = self.others * fresh + unknown * (1 - fresh)
        return in_flight + others

    def _aged_ms(self, now_ms: float) -> float:
        elapsed_ms = max(0, now_ms - self.latency_at_ms)
        return self.latency_ms * exp(-elapsed_ms / LATENCY_MEMORY_MS)


class Estimates:
    """One estimate per listed upstream, kept up to date by events.

    The usual latency of a route is a slow average over its answers.
    """

    def __init__(self, node: Node) -> None:
        """Follow attempts, reports and the VM list."""
        self._fleet: Fleet = node.fleet
        self._known: dict[UpstreamId, UpstreamEstimate] = {}
        self._usual_ms: dict[RouteName, float] = {}
        node.events.subscribe(AttemptStarted, self._on_started)
        node.events.subscribe(AttemptEnded, self._on_ended)
        node.events.subscribe(ReportSeen, self._on_report)
        node.events.subscribe(VmListChanged, self._on_vm_list)

    def of(self, upstream_id: UpstreamId) -> UpstreamEstimate:
        """Return the estimate, a fresh one for an unknown upstream."""
        estimate = self._known.get(upstream_id)
        if estimate is None:
            estimate = UpstreamEstimate()
            self._known[upstream_id] = estimate
        return estimate

    def usual_ms(self, route: RouteName) -> float:
        """Return the usual latency of a route."""
        return self._usual_ms.get(route, FIRST_USUAL_MS)

    def _on_started(self, event: AttemptStarted) -> None:
        estimate = self.of(event.upstream)
        estimate.started_ms[event.attempt_id] = event.now_ms

    def _on_ended(self, event: AttemptEnded) -> None:
        estimate = self.of(event.upstream)
        estimate.started_ms.pop(event.attempt_id, None)
        if event.failed or event.connection_died:
            estimate.observe(FAILURE_PENALTY_MS, event.now_ms)
        elif event.state in {AttemptState.ANSWERED, AttemptState.LOST}:
            estimate.observe(event.latency_ms, event.now_ms)
            self._learn_usual(event.routed.route.name, event.latency_ms)

    def _learn_usual(self, route: RouteName, latency_ms: float) -> None:
        known_ms = self._usual_ms.get(route)
        if known_ms is None:
            self._usual_ms[route] = latency_ms
            return
        bounded_ms = min(latency_ms, known_ms * USUAL_BOUND)
        self._usual_ms[route] += (bounded_ms - known_ms) * USUAL_WEIGHT

    def _on_report(self, event: ReportSeen) -> None:
        upstream = self._fleet.find(event.upstream)
        if upstream is None:
            return
        # The attempt whose answer brings the report is over at the upstream
        # and still in flight here.
        own = max(0, upstream.in_flight - 1)
        estimate = self.of(event.upstream)
        estimate.others = max(0, event.report.running - own)
        estimate.others_at_ms = event.now_ms

    def _on_vm_list(self, event: VmListChanged) -> None:
        self._fleet.drop_unlisted(self._known)

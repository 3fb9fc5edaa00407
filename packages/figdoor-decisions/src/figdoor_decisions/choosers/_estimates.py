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
    Upstream,
    UpstreamId,
    VmListChanged,
)

# Assumed until the first answer, so that an unknown upstream is neither
# shunned nor preferred much.
FIRST_LATENCY_MS = 5.0
FAILURE_PENALTY_MS = 1000.0
# A slowdown lasts about 200 ms; a longer memory leaves a recovered upstream
# unused.
LATENCY_MEMORY_MS = 100.0
REPORT_HALF_LIFE_MS = 50.0
REPORT_EXPIRY_MS = 250.0


@dataclass(slots=True)
class UpstreamEstimate:
    """Latency, load from elsewhere and own attempts at one upstream.

    ``others`` is the running count of the last report without this node's
    own attempts. ``started_ms`` holds the start of each own attempt in
    flight, the oldest first.
    """

    latency_ms: float = FIRST_LATENCY_MS
    latency_at_ms: float = 0
    others: float = 0
    others_at_ms: float = float('-inf')
    started_ms: dict[int, float] = field(default_factory=dict)

    def observe(self, latency_ms: float, now_ms: float) -> None:
        """Rise at once, sink slowly."""
        known_ms = self.latency_ms
        if latency_ms < known_ms:
            elapsed_ms = max(0, now_ms - self.latency_at_ms)
            kept = exp(-elapsed_ms / LATENCY_MEMORY_MS)
            latency_ms += (known_ms - latency_ms) * kept
        self.latency_ms = latency_ms
        self.latency_at_ms = now_ms

    def expected_ms(self, now_ms: float) -> float:
        """Return the latency estimate."""
        return self.latency_ms

    def load(self, upstream: Upstream, now_ms: float) -> float:
        """Return own attempts in flight plus the aged count of others."""
        age_ms = now_ms - self.others_at_ms
        if age_ms > REPORT_EXPIRY_MS:
            return upstream.in_flight
        fresh: float = 0.5 ** (age_ms / REPORT_HALF_LIFE_MS)
        return upstream.in_flight + self.others * fresh


class Estimates:
    """One estimate per listed upstream, kept up to date by events."""

    def __init__(self, node: Node) -> None:
        """Follow attempts, reports and the VM list."""
        self._fleet: Fleet = node.fleet
        self._known: dict[UpstreamId, UpstreamEstimate] = {}
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
        listed = {UpstreamId(vm.vm_id) for vm in event.vm_list.vms}
        for gone in self._known.keys() - listed:
            self._known.pop(gone)

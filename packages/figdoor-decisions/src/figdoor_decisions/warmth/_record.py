"""What one node knows about the warmth of one upstream."""

from dataclasses import dataclass, field

from figdoor_decisions.warmth._state_machine import (
    CurrentState,
    UpstreamStateMachine,
    start_machine,
)
from figdoor_kernel import InstanceId, Upstream

# Stands for the instance of an upstream that sends no load reports.
UNREPORTED_INSTANCE = InstanceId('unmarked')
# Two failures closer to each other than this turn an upstream cold.
FAILURE_WINDOW_MS = 1000.0
# A warm claim that arrives this soon after the update that the same instance
# turned cold may have been sent before that update.
LATE_CLAIM_WINDOW_MS = 1000.0
SLOW_FACTOR = 8.0
# A single slow answer often comes from a slow request, while a cold upstream
# is slow for all requests.
MIN_SLOW_ANSWERS = 3
MIN_SAMPLES = 20
MIN_SMOOTHING_WEIGHT = 0.1


@dataclass(slots=True)
class LatencyBaseline:
    """Moving average of the latency of an upstream.

    ``max_in_flight`` is the highest number of requests that this node had in
    flight when an answer came at normal speed. A slow answer at a higher
    load does not count towards ``slow_streak``.
    """

    average_ms: float = 0
    samples: int = 0
    max_in_flight: int = 0
    slow_streak: int = 0

    def is_slow(self, latency_ms: float) -> bool:
        """Return whether this is far above the average, if that is known."""
        if self.samples < MIN_SAMPLES:
            return False
        return latency_ms > SLOW_FACTOR * self.average_ms

    def add(self, latency_ms: float, in_flight: int) -> bool:
        """Add an answer; return whether the upstream has turned slow."""
        if self.is_slow(latency_ms):
            if in_flight <= self.max_in_flight:
                self.slow_streak += 1
            return self.slow_streak >= MIN_SLOW_ANSWERS
        self.slow_streak = 0
        self.max_in_flight = max(self.max_in_flight, in_flight)
        self.samples += 1
        weight = max(MIN_SMOOTHING_WEIGHT, 1 / self.samples)
        self.average_ms += weight * (latency_ms - self.average_ms)
        return False


@dataclass(slots=True)
class WarmthRecord:
    """Evidence of this node about one upstream.

    ``reported`` is the instance in the last load report. ``connected`` is
    the instance that answered over a connection that is still open.
    ``claimed`` is the instance that is known to be warm, and
    ``evidence_at_ms`` the time of the latest evidence for it. This node
    treats the upstream as warm only while ``connected`` and ``claimed`` are
    the same. ``cold_instance`` is the instance that turned cold last.
    """

    upstream: Upstream
    current: CurrentState = field(default_factory=CurrentState)
    machine: UpstreamStateMachine = field(init=False)
    reported: InstanceId | None = None
    connected: InstanceId | None = None
    claimed: InstanceId | None = None
    evidence_at_ms: float = 0
    cold_instance: InstanceId | None = None
    cold_at_ms: float | None = None
    last_failure_ms: float | None = None
    latency: LatencyBaseline = field(default_factory=LatencyBaseline)

    def __post_init__(self) -> None:
        """Start cold."""
        self.machine = start_machine(self.current)

    @property
    def is_connected_to_warm(self) -> bool:
        """Whether the connected instance is the one known to be warm."""
        return self.connected is not None and self.connected == self.claimed

    def record_failure(self, now_ms: float) -> bool:
        """Record a failure; return whether another one came shortly before."""
        last_ms = self.last_failure_ms
        self.last_failure_ms = now_ms
        return last_ms is not None and now_ms - last_ms <= FAILURE_WINDOW_MS

    def turned_cold_recently(
        self,
        instance: InstanceId,
        now_ms: float,
        window_ms: float = LATE_CLAIM_WINDOW_MS,
    ) -> bool:
        """Return whether this instance turned cold within the window."""
        if self.cold_at_ms is None or self.cold_instance != instance:
            return False
        return now_ms - self.cold_at_ms <= window_ms

    def discard_evidence(self) -> None:
        """Discard all that shows whether the upstream is warm or fails."""
        self.reported = None
        self.connected = None
        self.claimed = None
        self.last_failure_ms = None
        self.latency = LatencyBaseline()

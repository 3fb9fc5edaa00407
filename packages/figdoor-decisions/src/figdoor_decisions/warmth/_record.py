"""What one node knows of the warmth of one upstream."""

from dataclasses import dataclass, field

from figdoor_decisions.warmth._life import (
    LifeRecord,
    UpstreamLife,
    start_life,
)
from figdoor_kernel import InstanceId, Upstream

# Stands for the instance of an upstream that sends no load reports.
UNMARKED = InstanceId('unmarked')
# Two failures closer to each other than this turn an upstream cold.
FAILURE_WINDOW_MS = 1000.0
# A warm claim that arrives this soon after the news that the same instance
# turned cold may have been on its way before that news.
COLD_MEMORY_MS = 1000.0
SLOW_FACTOR = 8.0
# One slow answer is often a slow request; a cold upstream is slow for all.
SLOW_IN_A_ROW = 3
MIN_SAMPLES = 20
SMOOTHING = 0.1


@dataclass(slots=True)
class LatencyHistory:
    """Usual latency, and the own load under which it was usual."""

    usual_ms: float = 0
    samples: int = 0
    borne: int = 0
    slow_in_a_row: int = 0

    def is_slow(self, latency_ms: float) -> bool:
        """Return whether this is far above the usual latency, if known."""
        if self.samples < MIN_SAMPLES:
            return False
        return latency_ms > SLOW_FACTOR * self.usual_ms

    def add(self, latency_ms: float, in_flight: int) -> bool:
        """Add an answer; return whether the upstream has turned slow."""
        if self.is_slow(latency_ms):
            if in_flight <= self.borne:
                self.slow_in_a_row += 1
            return self.slow_in_a_row >= SLOW_IN_A_ROW
        self.slow_in_a_row = 0
        self.borne = max(self.borne, in_flight)
        self.samples += 1
        weight = max(SMOOTHING, 1 / self.samples)
        self.usual_ms += weight * (latency_ms - self.usual_ms)
        return False


@dataclass(slots=True)
class WarmthRecord:
    """Evidence of this node.

    ``mark`` is the instance in the last load report. ``connected`` is the
    instance that answered over a connection that is still open; ``claimed``
    is the instance that is known to be warm. The upstream is warm to this
    node only while both are the same.
    """

    upstream: Upstream
    state: LifeRecord = field(default_factory=LifeRecord)
    life: UpstreamLife = field(init=False)
    mark: InstanceId | None = None
    connected: InstanceId | None = None
    claimed: InstanceId | None = None
    fresh_at_ms: float = 0
    cold_instance: InstanceId | None = None
    cold_at_ms: float | None = None
    last_failure_ms: float | None = None
    latency: LatencyHistory = field(default_factory=LatencyHistory)

    def __post_init__(self) -> None:
        """Start cold."""
        self.life = start_life(self.state)

    @property
    def vouched(self) -> bool:
        """Whether the connected instance is the one known to be warm."""
        return self.connected is not None and self.connected == self.claimed

    def fail(self, now_ms: float) -> bool:
        """Note a failure; return whether it is the second one in a row."""
        last_ms = self.last_failure_ms
        self.last_failure_ms = now_ms
        return last_ms is not None and now_ms - last_ms <= FAILURE_WINDOW_MS

    def is_recently_cold(
        self,
        instance: InstanceId,
        now_ms: float,
        window_ms: float = COLD_MEMORY_MS,
    ) -> bool:
        """Return whether this instance turned cold a moment ago."""
        if self.cold_at_ms is None or self.cold_instance != instance:
            return False
        return now_ms - self.cold_at_ms <= window_ms

    def drop(self) -> None:
        """Forget all evidence."""
        self.mark = None
        self.connected = None
        self.claimed = None
        self.last_failure_ms = None
        self.latency = LatencyHistory()

"""Refuses attempts that would most likely miss the deadline."""

from collections import deque
from dataclasses import dataclass, field

from figdoor_kernel import (
    AttemptEnded,
    AttemptState,
    Node,
    Refusal,
    RoutedCall,
    RouteName,
)

SAMPLES = 64
REFRESH_ANSWERS = 16
# Refused attempts give no new latencies. Without an expiry, a route that was
# slow once would be refused forever.
EXPIRY_MS = 1000.0


@dataclass(slots=True)
class _RouteLatency:
    """The last latencies of a route and their median."""

    samples: deque[float] = field(
        default_factory=lambda: deque(maxlen=SAMPLES),
    )
    answers: int = 0
    p50_ms: float = 0
    answered_at_ms: float = 0


class TimeLeftRule:
    """Refuses attempts with less time left than the route's recent p50.

    Attempts on a route without an answer within the last second are allowed.
    """

    def __init__(self, node: Node) -> None:
        """Subscribe to ended attempts."""
        self._latencies: dict[RouteName, _RouteLatency] = {}
        node.events.subscribe(AttemptEnded, self._on_ended)

    def admit(
        self,
        routed: RoutedCall,
        attempts_made: int,
        now_ms: float,
    ) -> Refusal | None:
        """Refuse when less time is left than the p50 of the route."""
        latency = self._latencies.get(routed.route.name)
        if latency is None or now_ms - latency.answered_at_ms > EXPIRY_MS:
            return None
        if routed.deadline_ms - now_ms < latency.p50_ms:
            return Refusal.DEADLINE
        return None

    def _on_ended(self, event: AttemptEnded) -> None:
        if event.failed or event.state is not AttemptState.ANSWERED:
            return
        latency = self._latencies.setdefault(
            event.routed.route.name, _RouteLatency()
        )
        latency.samples.append(event.latency_ms)
        latency.answered_at_ms = event.now_ms
        latency.answers += 1
        if latency.answers % REFRESH_ANSWERS == 0:
            latency.p50_ms = upper_median(latency.samples)


def upper_median(samples: deque[float]) -> float:
    """Return the upper median, without the slow import of ``statistics``."""
    return sorted(samples)[len(samples) // 2]

"""How long the last answers of each route took."""

from collections import deque
from dataclasses import dataclass, field

from figdoor_kernel import (
    AttemptEnded,
    AttemptState,
    Node,
    RouteName,
    Service,
)

SAMPLES = 64
REFRESH_ANSWERS = 16


@dataclass(slots=True)
class _RouteLatency:
    """The last latencies of a route and their median."""

    samples: deque[float] = field(
        default_factory=lambda: deque(maxlen=SAMPLES),
    )
    answers: int = 0
    p50_ms: float = 0
    answered_at_ms: float = 0


class RouteLatencies(Service):
    """Records the latencies of the last answered attempts of each route."""

    def __init__(self, node: Node) -> None:
        """Subscribe to ended attempts."""
        self._latencies: dict[RouteName, _RouteLatency] = {}
        node.events.subscribe(AttemptEnded, self._on_ended)

    def recent_p50_ms(self, route: RouteName, since_ms: float) -> float | None:
        """Return the median, ``None`` without an answer since that time.

        It is 0 before the first ``REFRESH_ANSWERS`` answers.
        """
        latency = self._latencies.get(route)
        if latency is None or latency.answered_at_ms < since_ms:
            return None
        return latency.p50_ms

    def longest_ms(self, route: RouteName, default: float) -> float:
        """Return the longest of the last latencies, or the default."""
        latency = self._latencies.get(route)
        return default if latency is None else max(latency.samples)

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

"""Refuses attempts that would most likely miss the deadline."""

from figdoor_decisions.retries._latencies import RouteLatencies
from figdoor_kernel import Extension, Node, Refusal, RoutedCall

# Refused attempts give no new latencies. Without an expiry, a route that was
# slow once would be refused forever.
EXPIRY_MS = 1000.0


class TimeLeftRule:
    """Refuses attempts with less time left than the route's recent p50.

    Attempts on a route without an answer within the last second are allowed.
    """

    def __init__(self, node: Node) -> None:
        """Use the latencies of the routes."""
        self._latencies: RouteLatencies = node.part(
            Extension.SERVICE,
            'route-latencies',
        )

    def admit(
        self,
        routed: RoutedCall,
        attempts_made: int,
        now_ms: float,
    ) -> Refusal | None:
        """Refuse when less time is left than the p50 of the route."""
        p50_ms = self._latencies.recent_p50_ms(
            routed.route.name, now_ms - EXPIRY_MS
        )
        if p50_ms is not None and routed.deadline_ms - now_ms < p50_ms:
            return Refusal.DEADLINE
        return None

"""When a refused caller should come back."""

from figdoor_kernel import Node, Refusal, RoutedCall

DEFAULT_OBJECTIVE_MS = 1000.0
# Callers that come back together would meet the same lack of room, so the
# times are spread. Up to the latest of them a call can still be answered
# within its objective where the work takes its usual time.
EARLIEST_SHARE = 0.1
LATEST_SHARE = 0.4


class SpreadAdvice:
    """Spreads returning callers over a part of their objective."""

    def __init__(self, node: Node) -> None:
        """Use the node's random generator."""
        self._random = node.random

    def retry_after_ms(
        self,
        refusal: Refusal,
        routed: RoutedCall | None,
        now_ms: float,
    ) -> float:
        """Return a random time."""
        objective_ms = routed.route.objective_ms if routed else 0
        share = EARLIEST_SHARE + self._random.random() * (
            LATEST_SHARE - EARLIEST_SHARE
        )
        return share * (objective_ms or DEFAULT_OBJECTIVE_MS)

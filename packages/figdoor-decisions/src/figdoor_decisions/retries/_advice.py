"""When a refused caller should come back."""

from figdoor_kernel import Node, Refusal, RoutedCall

DEFAULT_OBJECTIVE_MS = 1000.0
# Callers that come back together would meet the same lack of room, so the
# times are spread. Up to the latest of them a call can still be answered
# within its objective where the work takes its usual time.
EARLIEST_SHARE = 0.1
LATEST_SHARE = 0.4
# A call that upstreams shed was placed where there was room, so that another
# try at once may well succeed. The little time spreads those that were shed
# together.
LATEST_SHED_SHARE = 0.05


class SpreadAdvice:
    """Spreads returning callers over a part of their objective."""

    def __init__(self, node: Node) -> None:
        """Use the node's random generator."""
        self._random = node.random

    def retry_after_ms(
        self,
        refusal: Refusal | None,
        routed: RoutedCall | None,
        now_ms: float,
    ) -> float:
        """Return a random time, a short one where the call was shed."""
        objective_ms = routed.route.objective_ms if routed else 0
        objective_ms = objective_ms or DEFAULT_OBJECTIVE_MS
        if refusal is None:
            return self._random.uniform(0, LATEST_SHED_SHARE) * objective_ms
        share = self._random.uniform(EARLIEST_SHARE, LATEST_SHARE)
        return share * objective_ms

"""A retry budget per route, and a check of the deadline."""

from figdoor_kernel import (
    AttemptState,
    CallOpened,
    Node,
    Refusal,
    RoutedCall,
    RouteName,
)

MAX_ATTEMPTS = 4
BURST_RETRIES = 10.0
PERCENT = 100
MIN_TIME_LEFT_MS = 1


class RetryBudget:
    """Allows each route a share of its first attempts as retries.

    Tokens are added by first attempts and not by time, so that retries cannot
    grow during an overload.
    """

    def __init__(self, node: Node) -> None:
        """Subscribe to opened calls."""
        self._tokens: dict[RouteName, float] = {}
        node.events.subscribe(CallOpened, self._on_opened)

    def allow(
        self,
        routed: RoutedCall,
        attempts_made: int,
        last: AttemptState,
        now_ms: float,
    ) -> bool:
        """Use one token of the route, if there is one."""
        if attempts_made >= MAX_ATTEMPTS or not routed.route.retry_percent:
            return False
        name = routed.route.name
        tokens = self._tokens.get(name, BURST_RETRIES)
        if tokens < 1:
            return False
        self._tokens[name] = tokens - 1
        return True

    def _on_opened(self, event: CallOpened) -> None:
        route = event.routed.route
        tokens = self._tokens.get(route.name, BURST_RETRIES)
        earned = route.retry_percent / PERCENT
        self._tokens[route.name] = min(BURST_RETRIES, tokens + earned)


class DeadlineRule:
    """Refuses attempts that cannot be answered before the deadline."""

    def __init__(self, node: Node) -> None:
        """Ignore the node; the rule has no state."""

    def admit(
        self,
        routed: RoutedCall,
        attempts_made: int,
        now_ms: float,
    ) -> Refusal | None:
        """Refuse when less than a millisecond is left."""
        if routed.deadline_ms - now_ms < MIN_TIME_LEFT_MS:
            return Refusal.DEADLINE
        return None

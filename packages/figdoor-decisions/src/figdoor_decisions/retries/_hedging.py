"""Hedging: a second attempt beside a first one that takes long."""

from collections import defaultdict, deque

from figdoor_decisions.load_probing import FreshLoads
from figdoor_decisions.retries._latencies import upper_median
from figdoor_kernel import (
    AttemptEnded,
    AttemptState,
    Extension,
    Node,
    RoutedCall,
    RouteName,
    Upstream,
)

SAMPLES = 32
# A call that has taken this many times the usual time has most likely been sent
# to a failing or slow upstream.
SLOW_FACTOR = 1.6
# A second attempt is useful only if its answer can meet the objective, so it
# begins before this share of the objective has passed.
LATEST_SHARE = 0.6
# Second attempts double the work of a call. They are sent only to upstreams
# below their knee and at about their usual speed; otherwise they would use
# capacity that first attempts need under high load.
MAX_HEDGE_COST = 1.2


class SlowAnswerHedge:
    """Begins a second attempt once an answer takes longer than usual.

    The retry rules limit the number of these attempts.
    """

    def __init__(self, node: Node) -> None:
        """Subscribe to ended attempts."""
        self._loads: FreshLoads = node.part(Extension.SERVICE, 'fresh-loads')
        self._latencies_ms: defaultdict[RouteName, deque[float]] = defaultdict(
            lambda: deque(maxlen=SAMPLES),
        )
        node.events.subscribe(AttemptEnded, self._on_ended)

    def hedge_ms(
        self,
        routed: RoutedCall,
        upstream: Upstream,
        sent_ms: float,
    ) -> float | None:
        """Return when to begin the second attempt, ``None`` for never.

        Calls of a route without an objective have none.
        """
        objective_ms = routed.route.objective_ms
        if not objective_ms:
            return None
        latest_ms = routed.opened_ms + LATEST_SHARE * objective_ms
        latencies_ms = self._latencies_ms.get(routed.route.name)
        if not latencies_ms:
            return latest_ms
        usual_ms = upper_median(latencies_ms)
        return min(latest_ms, sent_ms + SLOW_FACTOR * usual_ms)

    def accepts(self, upstream: Upstream, now_ms: float) -> bool:
        """Return whether the upstream has spare capacity."""
        cost = self._loads.cost(upstream, now_ms)
        return cost is not None and cost <= MAX_HEDGE_COST

    def _on_ended(self, event: AttemptEnded) -> None:
        if event.state is AttemptState.ANSWERED and not event.failed:
            name = event.routed.route.name
            self._latencies_ms[name].append(event.latency_ms)

"""When a second attempt begins beside a first that takes long."""

from collections import defaultdict, deque

from figdoor_decisions.load_probing import FreshLoads
from figdoor_decisions.retries._time_left import middle
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
# A call that has taken this many times the usual time has most likely met a
# failing or slowed upstream.
SLOW_FACTOR = 1.6
# A second attempt is of use only if its answer can come within the
# objective, so it begins before this share of it has passed.
LATEST_SHARE = 0.6
# Second attempts double the work of a call. They go only to upstreams that
# are below their knee and at about their usual speed, or they would take the
# room of first attempts while load is high.
SPARE_SLOWNESS = 1.2


class SlowAnswerHedge:
    """Begins one more attempt once an answer is later than usual.

    The retry rules bound how many there are.
    """

    def __init__(self, node: Node) -> None:
        """Follow answered attempts."""
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
        """Return the time, ``None`` without an objective."""
        objective_ms = routed.route.objective_ms
        if not objective_ms:
            return None
        latest_ms = routed.opened_ms + LATEST_SHARE * objective_ms
        latencies_ms = self._latencies_ms.get(routed.route.name)
        if not latencies_ms:
            return latest_ms
        usual_ms = middle(latencies_ms)
        return min(latest_ms, sent_ms + SLOW_FACTOR * usual_ms)

    def accepts(self, upstream: Upstream, now_ms: float) -> bool:
        """Return whether the upstream has room that no other call needs."""
        slowness = self._loads.slowness(upstream, now_ms)
        return slowness is not None and slowness <= SPARE_SLOWNESS

    def _on_ended(self, event: AttemptEnded) -> None:
        if event.state is AttemptState.ANSWERED and not event.failed:
            name = event.routed.route.name
            self._latencies_ms[name].append(event.latency_ms)

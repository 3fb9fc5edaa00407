"""The policy for upstreams whose load shifts within milliseconds."""

from collections.abc import Sequence

from figdoor_decisions.choosers._estimates import Estimates
from figdoor_kernel import Node, RoutedCall, Upstream

# All nodes see the same stale reports. Sampling keeps them from all picking
# the same idle upstream.
SAMPLES = 3


class Adaptive:
    """The lowest expected latency among a few random candidates."""

    def __init__(self, node: Node) -> None:
        """Keep estimates for this node's upstreams."""
        self._random = node.random
        self._estimates = Estimates(node)

    def choose(
        self,
        candidates: Sequence[Upstream],
        routed: RoutedCall,
        now_ms: float,
    ) -> Upstream:
        """Return the best of the samples."""
        if len(candidates) > SAMPLES:
            candidates = self._random.sample(candidates, SAMPLES)
        return min(
            candidates,
            key=lambda upstream: self._score(upstream, now_ms),
        )

    def _score(self, upstream: Upstream, now_ms: float) -> float:
        estimate = self._estimates.of(upstream.upstream_id)
        load = estimate.load(upstream, now_ms)
        return estimate.expected_ms(now_ms) * (load + 1)

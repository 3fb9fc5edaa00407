"""A policy for upstreams whose load changes within milliseconds."""

from collections.abc import Sequence
from math import inf

from figdoor_decisions.choosers._estimates import Estimates
from figdoor_kernel import Node, RoutedCall, Upstream

# All nodes see the same stale reports. Sampling keeps them from all selecting
# the same idle upstream.
LOCAL_SAMPLES = 5
REMOTE_SAMPLES = 3
# Twice the one-way latency between availability zones.
REMOTE_COST_MS = 3.0
# Latencies vary; an upstream counts as slow only beyond this multiple of the
# usual latency.
SLOW_FACTOR = 2.5
# An upstream without a fresh report counts as full with this many requests in
# its queue. Nodes then prefer upstreams with recent good answers, instead of
# detecting a slow or failing upstream with a request of their own each.
UNKNOWN_QUEUE = 1


class Adaptive:
    """Selects the lowest expected delay among a few random candidates.

    Candidates in the node's own availability zone come first while they can
    handle the load.
    """

    def __init__(self, node: Node) -> None:
        """Create the estimates for the upstreams."""
        self._random = node.random
        self._availability_zone = node.availability_zone
        self._estimates = Estimates(node)

    def choose(
        self,
        candidates: Sequence[Upstream],
        routed: RoutedCall,
        now_ms: float,
    ) -> Upstream:
        """Return the sampled candidate with the lowest expected delay."""
        usual_ms = self._estimates.usual_ms(routed.route.name)
        slots = routed.pool.slots
        best = candidates[0]
        best_ms = inf
        for sample in self._samples(candidates):
            delay_ms = self._delay_ms(sample, slots, usual_ms, now_ms)
            if delay_ms < best_ms:
                best = sample
                best_ms = delay_ms
        return best

    def _samples(self, candidates: Sequence[Upstream]) -> list[Upstream]:
        local_zone = self._availability_zone
        local: list[Upstream] = []
        remote: list[Upstream] = []
        for upstream in candidates:
            is_local = upstream.availability_zone == local_zone
            (local if is_local else remote).append(upstream)
        # Sampling also shuffles small groups, so that ties break at random.
        sample = self._random.sample
        selected = sample(local, min(LOCAL_SAMPLES, len(local)))
        return selected + sample(remote, min(REMOTE_SAMPLES, len(remote)))

    def _delay_ms(
        self,
        upstream: Upstream,
        slots: int,
        usual_ms: float,
        now_ms: float,
    ) -> float:
        """Return the expected delay in addition to the work time.

        The square of the load share approximates the probability that all
        slots are busy on arrival.
        """
        estimate = self._estimates.of(upstream.upstream_id)
        load = estimate.load(upstream.in_flight, slots + UNKNOWN_QUEUE, now_ms)
        share = load / slots
        delay_ms = usual_ms * share * share
        if load > slots - 1:
            delay_ms += usual_ms * (load + 1 - slots) / slots
        if upstream.availability_zone != self._availability_zone:
            delay_ms += REMOTE_COST_MS
        slowness_ms = estimate.expected_ms(now_ms) - SLOW_FACTOR * usual_ms
        return delay_ms + slowness_ms if slowness_ms > 0 else delay_ms

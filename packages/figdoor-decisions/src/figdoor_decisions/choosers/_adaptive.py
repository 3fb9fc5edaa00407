"""The policy for upstreams whose load shifts within milliseconds."""

from collections.abc import Sequence

from figdoor_decisions.choosers._estimates import Estimates
from figdoor_kernel import Node, RoutedCall, Upstream

# All nodes see the same stale reports. Sampling keeps them from all picking
# the same idle upstream.
LOCAL_SAMPLES = 5
REMOTE_SAMPLES = 3
# Twice the one-way latency between availability zones.
REMOTE_COST_MS = 3.0
# Answers vary; only an upstream beyond this multiple of the usual latency
# counts as slow.
SLOW_FACTOR = 2.5
# An upstream without a fresh report counts as full and one waiting. Nodes
# then stay with those that answered well lately, instead of each finding out
# about a slowed or failing upstream with a request of its own.
UNKNOWN_QUEUE = 1


class Adaptive:
    """The lowest expected delay among a few random candidates.

    Candidates in the node's own availability zone come first while they bear
    the load.
    """

    def __init__(self, node: Node) -> None:
        """Keep estimates for this node's upstreams."""
        self._random = node.random
        self._availability_zone = node.availability_zone
        self._estimates = Estimates(node)

    def choose(
        self,
        candidates: Sequence[Upstream],
        routed: RoutedCall,
        now_ms: float,
    ) -> Upstream:
        """Return the best of the samples."""
        own_zone = self._availability_zone
        local: list[Upstream] = []
        remote: list[Upstream] = []
        for upstream in candidates:
            is_local = upstream.availability_zone == own_zone
            (local if is_local else remote).append(upstream)
        samples = self._sample(local, LOCAL_SAMPLES)
        samples += self._sample(remote, REMOTE_SAMPLES)
        return min(
            samples,
            key=lambda sample: self._delay_ms(sample, routed, now_ms),
        )

    def _sample(self, group: list[Upstream], size: int) -> list[Upstream]:
        # Sampling a small group too gives ties no fixed winner.
        return self._random.sample(group, min(size, len(group)))

    def _delay_ms(
        self,
        upstream: Upstream,
        routed: RoutedCall,
        now_ms: float,
    ) -> float:
        """Return the expected delay beyond the time of the work itself."""
        estimate = self._estimates.of(upstream.upstream_id)
        usual_ms = self._estimates.usual_ms(routed.route.name)
        slowness_ms = estimate.expected_ms(now_ms) - SLOW_FACTOR * usual_ms
        slots = routed.pool.slots
        delay_ms = usual_ms * _queueing(
            estimate.load(upstream, slots + UNKNOWN_QUEUE, now_ms),
            slots,
        )
        if upstream.availability_zone != self._availability_zone:
            delay_ms += REMOTE_COST_MS
        return delay_ms + max(0, slowness_ms)


def _queueing(load: float, slots: int) -> float:
    """Return the expected wait for a slot, as a share of the usual latency.

    The square stands for the chance that all slots are busy on arrival.
    """
    overflow = max(0, load + 1 - slots)
    return (load / slots) ** 2 + overflow / slots

"""Selects the upstream with the lowest expected time of an answer."""

from collections.abc import Sequence
from math import inf

from figdoor_decisions.load_probing._loads import FreshLoads
from figdoor_decisions.load_probing._objective import ObjectiveTimes
from figdoor_decisions.load_probing._prober import SamplingProber
from figdoor_kernel import (
    CallUnplaced,
    Extension,
    Node,
    ResponseSize,
    RoutedCall,
    Upstream,
)

# Another availability zone adds 3 ms and costs for data transfer, so a call is
# sent there only for a clear gain in speed.
REMOTE_COST_FACTOR = 1.15
# Objectives are at least 2.3 times the usual work time, so a local upstream up
# to this cost is good enough. Other availability zones are probed before a
# slower upstream is selected.
GOOD_ENOUGH_COST = 1.8


class ExpectedTime:
    """Selects the lowest cost among upstreams with a fresh probe."""

    def __init__(self, node: Node) -> None:
        """Use the loads, the load prober and the times of the routes."""
        self._events = node.events
        self._availability_zone = node.availability_zone
        self._loads: FreshLoads = node.part(Extension.SERVICE, 'fresh-loads')
        self._prober: SamplingProber = node.part(
            Extension.LOAD_PROBER,
            'probes',
        )
        self._times: ObjectiveTimes = node.part(
            Extension.SERVICE,
            'objective-times',
        )
        self._random = node.random

    def choose(
        self,
        candidates: Sequence[Upstream],
        routed: RoutedCall,
        now_ms: float,
    ) -> Upstream | None:
        """Return the upstream with the lowest cost, ``None`` where none fits.

        Only candidates with a fresh probe and capacity are considered, and
        upstreams in a cold start only where no warm one has a fresh probe. A
        local upstream that is good enough is selected before a remote one; for
        a large response, every one that meets the objective is good enough. A
        call that can still meet its objective waits for an upstream on which it
        does. A call that cannot is sent only where it slows down no other call,
        because late answers would otherwise displace those in time under high
        load, and only where it is answered before the deadline. Otherwise it is
        refused, and the refusal tells the caller that it has not run.
        """
        fresh = [
            upstream
            for upstream in candidates
            if self._loads.is_fresh(upstream, now_ms)
        ]
        margin = self._times.margin(routed, now_ms)
        selected = self._select(fresh, routed, margin, now_ms)
        if selected is None:
            probed = tuple(upstream.upstream_id for upstream in fresh)
            unplaced = CallUnplaced(routed, probed, margin, now_ms)
            self._events.publish(unplaced)
        return selected

    def _select(
        self,
        fresh: list[Upstream],
        routed: RoutedCall,
        margin: float,
        now_ms: float,
    ) -> Upstream | None:
        warm = [
            candidate
            for candidate in fresh
            if not self._loads.is_cold(candidate, now_ms)
        ]
        local = [candidate for candidate in warm if self._is_local(candidate)]
        best, cost = self._cheapest(local, now_ms)
        is_large = routed.route.response_size is ResponseSize.LARGE
        good_enough_cost = inf if is_large else GOOD_ENOUGH_COST
        if best and cost <= min(good_enough_cost, margin):
            return best
        best, cost = self._cheapest(warm or fresh, now_ms)
        if self._prober.round_count(routed) == 1 and cost > GOOD_ENOUGH_COST:
            return None
        if best is None or self._is_in_time(best, margin):
            return best
        if margin >= 1 and not self._prober.is_last_round(routed, now_ms):
            return None
        deadline_margin = self._times.deadline_margin(routed, now_ms)
        spare = [
            upstream
            for upstream in warm or fresh
            if self._loads.is_below_knee(upstream)
            and self._is_in_time(upstream, deadline_margin)
        ]
        return self._cheapest(spare, now_ms)[0]

    def _cheapest(
        self,
        upstreams: Sequence[Upstream],
        now_ms: float,
    ) -> tuple[Upstream | None, float]:
        best: Upstream | None = None
        lowest_cost = inf
        for upstream in upstreams:
            cost = self._cost(upstream, now_ms)
            if cost < lowest_cost:
                best = upstream
                lowest_cost = cost
        return best, lowest_cost

    def _is_in_time(self, upstream: Upstream, margin: float) -> bool:
        return (self._loads.time_factor(upstream) or inf) <= margin

    def _is_local(self, upstream: Upstream) -> bool:
        return upstream.availability_zone == self._availability_zone

    def _cost(self, upstream: Upstream, now_ms: float) -> float:
        cost = self._loads.cost(upstream, now_ms)
        if cost is None:
            return inf
        if not self._is_local(upstream):
            cost *= REMOTE_COST_FACTOR
        # Keeps nodes that see the same loads from selecting the same upstream.
        return cost * (1 + self._random.random() / 50)

"""Picks the upstream that should answer first."""

from collections.abc import Sequence
from math import inf

from figdoor_decisions.load_probing._loads import FreshLoads
from figdoor_decisions.load_probing._objective import ObjectiveTimes
from figdoor_decisions.load_probing._prober import ProbeSurvey
from figdoor_kernel import (
    CallUnplaced,
    Extension,
    Node,
    RoutedCall,
    Upstream,
)

# Another zone costs 3 ms and transfer, which a call takes only for a clear
# gain in speed.
REMOTE_FACTOR = 1.15
# Objectives are at least 2.3 times the usual work, so that an upstream of the
# own zone that is at most this much slower than usual is good enough. Other
# zones are asked before a slower one is taken.
GOOD_SLOWNESS = 1.8


class ExpectedTime:
    """The lowest expected time among upstreams that were just probed."""

    def __init__(self, node: Node) -> None:
        """Use fresh loads and the course of surveys."""
        self._events = node.events
        self._availability_zone = node.availability_zone
        self._loads: FreshLoads = node.part(Extension.SERVICE, 'fresh-loads')
        self._survey: ProbeSurvey = node.part(
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
        """Return ``None`` where no candidate is known to have room.

        Upstreams in a cold start are left to calls that find no other. A call
        that can still meet its objective waits for an upstream where it does.
        One that cannot takes only room that slows no other call down, or late
        answers would crowd out those in time while load is high, and only
        where the answer comes before the deadline: otherwise a refusal tells
        that the call has not run.
        """
        fresh = [
            upstream
            for upstream in candidates
            if self._loads.is_fresh(upstream, now_ms)
        ]
        margin = self._times.margin(routed, now_ms)
        chosen = self._pick(fresh, routed, margin, now_ms)
        if chosen is None:
            seen = tuple(upstream.upstream_id for upstream in fresh)
            unplaced = CallUnplaced(routed, seen, margin, now_ms)
            self._events.publish(unplaced)
        return chosen

    def _pick(
        self,
        fresh: list[Upstream],
        routed: RoutedCall,
        margin: float,
        now_ms: float,
    ) -> Upstream | None:
        warm = [one for one in fresh if not self._loads.is_cold(one, now_ms)]
        local = [one for one in warm if self._is_local(one)]
        best, slowness = self._best(local, now_ms)
        if best and slowness <= min(GOOD_SLOWNESS, margin):
            return best
        best, slowness = self._best(warm or fresh, now_ms)
        if self._survey.rounds(routed) == 1 and slowness > GOOD_SLOWNESS:
            return None
        if best is None or self._is_in_time(best, margin):
            return best
        if margin >= 1 and not self._survey.is_last(routed, now_ms):
            return None
        last_margin = self._times.last_margin(routed, now_ms)
        spare = [
            upstream
            for upstream in warm or fresh
            if self._loads.is_below_knee(upstream)
            and self._is_in_time(upstream, last_margin)
        ]
        return self._best(spare, now_ms)[0]

    def _best(
        self,
        upstreams: Sequence[Upstream],
        now_ms: float,
    ) -> tuple[Upstream | None, float]:
        best: Upstream | None = None
        best_slowness = inf
        for upstream in upstreams:
            slowness = self._slowness(upstream, now_ms)
            if slowness < best_slowness:
                best = upstream
                best_slowness = slowness
        return best, best_slowness

    def _is_in_time(self, upstream: Upstream, margin: float) -> bool:
        return (self._loads.pace(upstream) or inf) <= margin

    def _is_local(self, upstream: Upstream) -> bool:
        return upstream.availability_zone == self._availability_zone

    def _slowness(self, upstream: Upstream, now_ms: float) -> float:
        slowness = self._loads.slowness(upstream, now_ms)
        if slowness is None:
            return inf
        if not self._is_local(upstream):
            slowness *= REMOTE_FACTOR
        # Nodes that see the same loads must not all pick the same upstream.
        return slowness * (1 + self._random.random() / 50)

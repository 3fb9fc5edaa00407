"""Selects the upstream with the lowest expected time of an answer."""

from collections.abc import Sequence
from math import inf

from figdoor_decisions.load_probing._loads import FreshLoads
from figdoor_decisions.load_probing._objective import ObjectiveTimes
from figdoor_decisions.load_probing._prober import SamplingProber
from figdoor_decisions.overload import RecentKinds, Room, WaitingCalls
from figdoor_kernel import (
    CallUnplaced,
    Extension,
    Node,
    RequestSize,
    ResponseSize,
    Route,
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
# Share of its objective by which a call with a large body must be able to wait
# for a local upstream. What is left is enough to be served by a remote one.
LOCAL_SLACK_SHARE = 0.5
# A call that has missed its objective does not take the last upstream below its
# knee among those probed: a call of another node may be about to find it.
MIN_SPARE_UPSTREAMS = 2
# The speed of a cold upstream changes while it warms up, so a call is sent to
# it only with twice the time that the reported speed takes.
COLD_SAFETY_FACTOR = 2.0


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
        self._node = node
        self._queue: WaitingCalls = node.part(
            Extension.CALL_QUEUE, 'waiting-calls'
        )
        self._kinds: RecentKinds = node.part(Extension.SERVICE, 'recent-kinds')

    def choose(
        self,
        candidates: Sequence[Upstream],
        routed: RoutedCall,
        now_ms: float,
    ) -> Upstream | None:
        """Return the upstream with the lowest cost, ``None`` where none fits.

        Only candidates with a fresh probe and capacity are considered, and
        upstreams in a cold start only where no warm one has a fresh probe, or
        with overload control, where no warm one is in time. A
        local upstream that is good enough is selected before a remote one; for
        a large request or response, every one that meets the objective is good
        enough. A
        call that can still meet its objective waits for an upstream on which it
        does. A call that cannot is sent only where it slows down no other call,
        because late answers would otherwise displace those in time under high
        load, and only where it is answered before the deadline. Otherwise it is
        refused, and the refusal tells the caller that it has not run.

        With overload control, the queue of waiting calls and the room that the
        call may use are taken into account: room goes to the waiting calls
        that are more urgent first.
        """
        selected = self._search(candidates, routed, now_ms)
        if selected is None or not self._queue.wake_preceding(routed, now_ms):
            return selected
        return self._search(candidates, routed, now_ms)

    def _search(
        self,
        candidates: Sequence[Upstream],
        routed: RoutedCall,
        now_ms: float,
    ) -> Upstream | None:
        """Select an upstream, or publish that there is none."""
        fresh = [
            upstream
            for upstream in candidates
            if self._loads.is_fresh(upstream, now_ms)
        ]
        margin = self._times.margin(routed, now_ms)
        if self._waits_for_local(candidates, routed, now_ms):
            fresh = [upstream for upstream in fresh if self._is_local(upstream)]
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
        room = self._room(routed, now_ms)
        usable = self._usable(fresh, room, now_ms)
        best, cost = self._cheapest(self._warm_local(usable, now_ms), now_ms)
        if best and cost <= min(_good_enough_cost(routed.route), margin):
            return best
        best, cost = self._cheapest(usable, now_ms)
        if self._prober.round_count(routed) == 1 and cost > GOOD_ENOUGH_COST:
            return None
        if best is not None and self._is_in_time(best, margin):
            return best
        cold = self._select_cold(fresh, routed, margin, now_ms)
        if best is None or cold is not None:
            return cold
        is_last_round = self._prober.is_last_round(routed, now_ms)
        if margin >= 1 and not is_last_round:
            return None
        usable = list(filter(self._loads.is_below_knee, usable))
        spare = self._before_deadline(usable, routed, now_ms)
        is_scarce = len(spare) < MIN_SPARE_UPSTREAMS
        if room is Room.SPARE and is_scarce and not is_last_round:
            return None
        return self._cheapest(spare, now_ms)[0]

    def _usable(
        self,
        fresh: list[Upstream],
        room: Room,
        now_ms: float,
    ) -> list[Upstream]:
        """Return the warm upstreams, or else the cold ones, with this room."""
        warm = [
            upstream
            for upstream in fresh
            if not self._loads.is_cold(upstream, now_ms)
        ]
        usable = warm or fresh
        if room is Room.ANY:
            return usable
        return list(filter(self._loads.is_below_knee, usable))

    def _select_cold(
        self,
        fresh: Sequence[Upstream],
        routed: RoutedCall,
        margin: float,
        now_ms: float,
    ) -> Upstream | None:
        """Select a cold upstream if no warm one is in time.

        It must be idle enough to answer in time, or for a late call, before
        the deadline. The candidate rules limit how often it gets requests.
        """
        if not self._node.has_overload_control:
            return None
        if margin < 1:
            margin = self._times.deadline_margin(routed, now_ms)
        cold = [
            upstream
            for upstream in fresh
            if self._loads.is_cold(upstream, now_ms)
            and self._loads.is_below_knee(upstream)
            and self._is_in_time(upstream, margin / COLD_SAFETY_FACTOR)
        ]
        return self._cheapest(cold, now_ms)[0]

    def _warm_local(
        self,
        upstreams: Sequence[Upstream],
        now_ms: float,
    ) -> list[Upstream]:
        return [
            upstream
            for upstream in upstreams
            if self._is_local(upstream)
            and not self._loads.is_cold(upstream, now_ms)
        ]

    def _before_deadline(
        self,
        upstreams: Sequence[Upstream],
        routed: RoutedCall,
        now_ms: float,
    ) -> list[Upstream]:
        """Return those on which a call is answered before its deadline."""
        deadline_margin = self._times.deadline_margin(routed, now_ms)
        return [
            upstream
            for upstream in upstreams
            if self._is_in_time(upstream, deadline_margin)
        ]

    def _room(self, routed: RoutedCall, now_ms: float) -> Room:
        if not self._node.has_overload_control:
            return Room.ANY
        urgency = self._times.urgency(routed, now_ms)
        return self._kinds.room_for(routed, urgency, now_ms)

    def _waits_for_local(
        self,
        candidates: Sequence[Upstream],
        routed: RoutedCall,
        now_ms: float,
    ) -> bool:
        """Return whether a large body is kept in its availability zone.

        It is as long as the call can wait for a local upstream.
        """
        route = routed.route
        if (
            not self._node.has_overload_control
            or route.request_size is RequestSize.SMALL
        ):
            return False
        slack_ms = self._times.urgency(routed, now_ms).slack_ms(now_ms)
        if slack_ms < LOCAL_SLACK_SHARE * route.objective_ms:
            return False
        return bool(self._warm_local(candidates, now_ms))

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


def _good_enough_cost(route: Route) -> float:
    """Return the cost up to which no remote upstream is considered."""
    is_large = (
        route.response_size is ResponseSize.LARGE
        or route.request_size is RequestSize.LARGE
    )
    return inf if is_large else GOOD_ENOUGH_COST

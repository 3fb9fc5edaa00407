"""How much slower than usual an upstream may be for an answer in time."""

from collections import deque
from dataclasses import dataclass, field
from math import inf

from figdoor_decisions.load_probing._loads import FreshLoads
from figdoor_kernel import (
    AttemptEnded,
    AttemptStarted,
    AttemptState,
    CallOpened,
    Extension,
    Node,
    RoutedCall,
    RouteName,
    Service,
)

SAMPLES = 64
# Callers that were refused come back with less time. While there are many of
# them, a quarter of the calls are still first ones.
FULL_TIME_RANK = 0.75
# Four fifths of the answers take at most 1.25 times the median.
SURE_SHARE = 0.8


@dataclass(slots=True)
class _Route:
    """Times of the last calls of one route."""

    work_ms: deque[float] = field(
        default_factory=lambda: deque(maxlen=SAMPLES),
    )
    given_ms: deque[float] = field(
        default_factory=lambda: deque(maxlen=SAMPLES),
    )


class ObjectiveTimes(Service):
    """Compares the time left until the objective with the usual work.

    The objective counts from the caller's first try. How long ago that was
    follows from the time that the caller still gives.
    """

    def __init__(self, node: Node) -> None:
        """Follow calls and their attempts."""
        self._loads: FreshLoads = node.part(Extension.SERVICE, 'fresh-loads')
        self._fleet = node.fleet
        self._routes: dict[RouteName, _Route] = {}
        self._paces: dict[int, float] = {}
        node.events.subscribe(CallOpened, self._on_opened)
        node.events.subscribe(AttemptStarted, self._on_started)
        node.events.subscribe(AttemptEnded, self._on_ended)

    def margin(self, routed: RoutedCall, now_ms: float) -> float:
        """Return the highest pace that still meets the objective.

        It is a multiple of the usual work; below 1 the objective is missed
        even where nothing else runs. Without an objective, or before the
        first answer, it is infinite.
        """
        objective_ms = routed.route.objective_ms
        if not objective_ms:
            return inf
        route = self._route(routed)
        spent_ms = now_ms - routed.opened_ms
        if route.given_ms and routed.call.time_left_ms is not None:
            full_ms = _ranked(route.given_ms, FULL_TIME_RANK)
            spent_ms += max(0, full_ms - routed.call.time_left_ms)
        return self._pace(routed, objective_ms - spent_ms)

    def last_margin(self, routed: RoutedCall, now_ms: float) -> float:
        """Return the highest pace with which an answer comes at all.

        It is a multiple of the usual work, like ``margin``, but until the
        deadline.
        """
        return self._pace(routed, routed.deadline_ms - now_ms)

    def _pace(self, routed: RoutedCall, left_ms: float) -> float:
        """Return with which pace the work takes the time that is left."""
        work_ms = self._route(routed).work_ms
        if not work_ms:
            return inf
        return SURE_SHARE * left_ms / max(_ranked(work_ms, 1 / 2), 1)

    def _on_opened(self, event: CallOpened) -> None:
        given_ms = event.routed.call.time_left_ms
        if given_ms is not None:
            self._route(event.routed).given_ms.append(given_ms)

    def _on_started(self, event: AttemptStarted) -> None:
        upstream = self._fleet.find(event.upstream)
        if upstream is None or self._loads.is_cold(upstream, event.now_ms):
            return
        # The attempt counts already.
        pace = self._loads.pace(upstream, 0)
        if pace is not None:
            self._paces[event.attempt_id] = pace

    def _on_ended(self, event: AttemptEnded) -> None:
        pace = self._paces.pop(event.attempt_id, None)
        if pace is None or event.failed:
            return
        if event.state is AttemptState.ANSWERED:
            work_ms = self._route(event.routed).work_ms
            work_ms.append(event.latency_ms / pace)

    def _route(self, routed: RoutedCall) -> _Route:
        return self._routes.setdefault(routed.route.name, _Route())


def _ranked(samples: deque[float], rank: float) -> float:
    ordered = sorted(samples)
    return ordered[int(rank * (len(ordered) - 1))]

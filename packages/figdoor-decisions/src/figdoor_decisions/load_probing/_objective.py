"""How slow an upstream may be for its answer to meet the objective."""

from collections import deque
from dataclasses import dataclass, field
from math import inf

from figdoor_decisions.load_probing._loads import FreshLoads
from figdoor_decisions.overload import Urgency
from figdoor_kernel import (
    AttemptEnded,
    AttemptStarted,
    AttemptState,
    CallOpened,
    Extension,
    Node,
    Outlook,
    RoutedCall,
    RouteName,
    Service,
)

SAMPLES = 64
# Quantile of the callers' timeouts that is taken as the timeout of a first try.
# Refused callers retry with a shorter timeout. Even while there are many of
# them, a quarter of the calls are first tries.
FIRST_TRY_QUANTILE = 0.75
# Four fifths of the answers take at most 1.25 (1 / 0.8) times the median.
SAFETY_SHARE = 0.8
# Until a route has had an answer, its work is assumed to take the largest share
# of its objective that deployments have. With 130 nodes, most first calls of a
# route on a node come before its first answer.
ASSUMED_WORK_SHARE = 1 / 2.3
# The assumption counts like this many answers. The median of one or two answers
# is often a third too low, and calls were queued behind others as if they could
# still be in time.
ASSUMED_SAMPLES = 2
# A caller whose timeout is shorter by more than this share of the objective
# has tried before. Smaller differences come from the way to the node.
RETRY_SHARE = 0.1


@dataclass(slots=True)
class _RouteTimes:
    """Work times and caller timeouts of the last calls of one route.

    The quantiles are kept, since each search for room uses them several times.
    """

    usual_work_ms: float | None = None
    first_timeout_ms: float | None = None
    work_ms: deque[float] = field(
        default_factory=lambda: deque(maxlen=SAMPLES),
    )
    timeouts_ms: deque[float] = field(
        default_factory=lambda: deque(maxlen=SAMPLES),
    )


class ObjectiveTimes(Service):
    """Compares the time left until the objective with the usual work time.

    The objective counts from the caller's first try. A retry carries a shorter
    timeout, and the difference tells how long ago the first try was.

    The results are time factors: multiples of the time that the work usually
    takes on an upstream without other load.
    """

    def __init__(self, node: Node) -> None:
        """Subscribe to calls and their attempts."""
        self._loads: FreshLoads = node.part(Extension.SERVICE, 'fresh-loads')
        self._fleet = node.fleet
        self._node = node
        self._routes: dict[RouteName, _RouteTimes] = {}
        self._time_factors: dict[int, float] = {}
        node.events.subscribe(CallOpened, self._on_opened)
        node.events.subscribe(AttemptStarted, self._on_started)
        node.events.subscribe(AttemptEnded, self._on_ended)

    def margin(self, routed: RoutedCall, now_ms: float) -> float:
        """Return the highest time factor that still meets the objective.

        Below 1 the objective is missed even on an idle upstream. Without an
        objective, or before the first answer, it is infinite.
        """
        objective_ms = routed.route.objective_ms
        if not objective_ms:
            return inf
        spent_ms = now_ms - routed.opened_ms + self._spent_before_ms(routed)
        return _max_time_factor(self._work_ms(routed), objective_ms - spent_ms)

    def urgency(self, routed: RoutedCall, now_ms: float) -> Urgency:
        """Return what a delay costs the caller, and until when there is none.

        Without an objective, the deadline takes its place.
        """
        times = self._times_of(routed)
        work_ms = self._work_ms(routed) or 0
        spent_before_ms = self._spent_before_ms(routed)
        objective_ms = routed.route.objective_ms
        deadline_start_ms = routed.deadline_ms
        # An assumption is no reason to refuse a call before its deadline.
        if times.work_ms:
            deadline_start_ms -= work_ms / SAFETY_SHARE
        latest_start_ms = deadline_start_ms
        if objective_ms:
            objective_end_ms = routed.opened_ms - spent_before_ms + objective_ms
            latest_start_ms = min(
                latest_start_ms, objective_end_ms - work_ms / SAFETY_SHARE
            )
        outlook = Outlook.IN_TIME
        if now_ms > latest_start_ms:
            outlook = Outlook.LATE
            latest_start_ms = deadline_start_ms
        if now_ms > deadline_start_ms:
            outlook = Outlook.LOST
        return Urgency(
            routed.priority,
            outlook,
            latest_start_ms,
            work_ms,
            len(times.work_ms),
            bool(objective_ms) and spent_before_ms > RETRY_SHARE * objective_ms,
        )

    def deadline_margin(self, routed: RoutedCall, now_ms: float) -> float:
        """Return the highest time factor that still meets the deadline.

        Before the first answer of the route it is infinite.
        """
        left_ms = routed.deadline_ms - now_ms
        return _max_time_factor(self._times_of(routed).usual_work_ms, left_ms)

    def _work_ms(self, routed: RoutedCall) -> float | None:
        """Return the usual or assumed work time, ``None`` without either.

        The fewer answers there were, the more the assumption counts.
        """
        times = self._times_of(routed)
        objective_ms = routed.route.objective_ms
        if not self._node.has_overload_control or not objective_ms:
            return times.usual_work_ms
        assumed_ms = ASSUMED_WORK_SHARE * objective_ms
        count = len(times.work_ms)
        learned_ms = times.usual_work_ms or 0
        total_ms = ASSUMED_SAMPLES * assumed_ms + count * learned_ms
        return total_ms / (ASSUMED_SAMPLES + count)

    def _spent_before_ms(self, routed: RoutedCall) -> float:
        """Return how long before this call its caller's first try was."""
        first_timeout_ms = self._times_of(routed).first_timeout_ms
        if first_timeout_ms is None or routed.call.time_left_ms is None:
            return 0
        return max(0, first_timeout_ms - routed.call.time_left_ms)

    def _on_opened(self, event: CallOpened) -> None:
        timeout_ms = event.routed.call.time_left_ms
        if timeout_ms is not None:
            times = self._times_of(event.routed)
            times.timeouts_ms.append(timeout_ms)
            times.first_timeout_ms = _quantile(
                times.timeouts_ms, FIRST_TRY_QUANTILE
            )

    def _on_started(self, event: AttemptStarted) -> None:
        upstream = self._fleet.find(event.upstream)
        if upstream is None or self._loads.is_cold(upstream, event.now_ms):
            return
        # The load already includes this attempt.
        time_factor = self._loads.time_factor(upstream, 0)
        # A factor of 0 says nothing about the time that the work takes.
        if time_factor:
            self._time_factors[event.attempt_id] = time_factor

    def _on_ended(self, event: AttemptEnded) -> None:
        time_factor = self._time_factors.pop(event.attempt_id, None)
        if time_factor is None or event.failed:
            return
        if event.state is AttemptState.ANSWERED:
            times = self._times_of(event.routed)
            times.work_ms.append(event.latency_ms / time_factor)
            times.usual_work_ms = _quantile(times.work_ms, 1 / 2)

    def _times_of(self, routed: RoutedCall) -> _RouteTimes:
        return self._routes.setdefault(routed.route.name, _RouteTimes())


def _max_time_factor(work_ms: float | None, left_ms: float) -> float:
    """Return the time factor at which the work takes ``left_ms``."""
    if work_ms is None:
        return inf
    return SAFETY_SHARE * left_ms / max(work_ms, 1)


def _quantile(samples: deque[float], quantile: float) -> float:
    ordered = sorted(samples)
    return ordered[int(quantile * (len(ordered) - 1))]

"""Advice on when a refused caller should retry."""

from figdoor_decisions.allowances import AllowanceRequests
from figdoor_decisions.load_probing import ObjectiveTimes
from figdoor_decisions.outliers import RequestedBackoff
from figdoor_decisions.overload import WaitingCalls
from figdoor_kernel import Extension, Node, Refusal, RoutedCall

DEFAULT_OBJECTIVE_MS = 1000.0
# Range of the delay, as shares of the objective. Callers that retried together
# would exceed the capacity again, so the delays are spread. After the longest
# delay, a call can still meet its objective if the work takes its usual time.
EARLIEST_SHARE = 0.1
LATEST_SHARE = 0.4
# A shed call had been sent to an upstream with capacity, so an immediate retry
# is likely to succeed. The short delay spreads calls that were shed together.
LATEST_SHED_SHARE = 0.05
# Callers that miss their objective anyway are served from spare capacity. Their
# delays are longer and spread further, until a burst may be over, and leave the
# capacity to callers that can still be in time.
EARLIEST_LATE_SHARE = 0.5
LATEST_LATE_SHARE = 1.5
# Callers keep to a delay of at most this share of the time that they have left.
MAX_DELAY_SHARE = 1 / 3


class SpreadAdvice:
    """Spreads retries of callers over a part of their objective."""

    def __init__(self, node: Node) -> None:
        """Use the node's random generator and the objective times."""
        self._random = node.random
        self._backoff: RequestedBackoff = node.part(
            Extension.CANDIDATE_RULE,
            'requested-backoff',
        )
        self._allowances: AllowanceRequests = node.part(
            Extension.SERVICE,
            'allowance-requests',
        )
        self._node = node
        self._queue: WaitingCalls = node.part(
            Extension.CALL_QUEUE, 'waiting-calls'
        )
        self._times: ObjectiveTimes = node.part(
            Extension.SERVICE,
            'objective-times',
        )

    def retry_after_ms(
        self,
        refusal: Refusal | None,
        routed: RoutedCall | None,
        now_ms: float,
    ) -> float:
        """Return a random delay.

        It is short if the call was shed, and long if the caller would miss its
        objective. If all upstreams have asked for a pause, it counts from the
        end of the first of these pauses. For a tenant above its allowance it
        counts from the time at which there is room again.
        """
        if refusal is Refusal.ALLOWANCE and routed is not None:
            return self._allowances.retry_after_ms(routed, now_ms)
        resumes_ms = now_ms
        if routed is not None:
            resumes_ms = self._backoff.service_resumes_ms(
                routed.pool.service, now_ms
            )
        delay_ms = self._delay_ms(refusal, routed, resumes_ms)
        return resumes_ms - now_ms + delay_ms

    def _delay_ms(
        self,
        refusal: Refusal | None,
        routed: RoutedCall | None,
        now_ms: float,
    ) -> float:
        """Return the delay from the time at which upstreams can be used."""
        objective_ms = routed.route.objective_ms if routed else 0
        objective_ms = objective_ms or DEFAULT_OBJECTIVE_MS
        if refusal is None:
            return self._random.uniform(0, LATEST_SHED_SHARE) * objective_ms
        earliest_share, latest_share = EARLIEST_SHARE, LATEST_SHARE
        retry_ms = now_ms + LATEST_SHARE * objective_ms
        if routed is not None and self._times.margin(routed, retry_ms) < 1:
            earliest_share = EARLIEST_LATE_SHARE
            latest_share = LATEST_LATE_SHARE
        earliest_ms = earliest_share * objective_ms
        latest_ms = latest_share * objective_ms
        if self._node.has_overload_control and routed is not None:
            earliest_ms, latest_ms = self._shift(
                earliest_ms, latest_ms, routed, now_ms
            )
        return self._random.uniform(earliest_ms, latest_ms)

    def _shift(
        self,
        earliest_ms: float,
        latest_ms: float,
        routed: RoutedCall,
        now_ms: float,
    ) -> tuple[float, float]:
        """Return a range of delays that reaches to the end of a shortage.

        A shortage is expected to last as long again as it has lasted, so the
        callers that it turned away return over that time instead of together.
        The range ends while the caller still keeps to it, and keeps its width
        as far as possible.
        """
        shortage_ms = self._queue.shortage_ms(routed.pool.service, now_ms)
        left_ms = max(0, routed.deadline_ms - now_ms)
        latest_ms = min(max(latest_ms, shortage_ms), MAX_DELAY_SHARE * left_ms)
        return min(earliest_ms, latest_ms / 2), latest_ms

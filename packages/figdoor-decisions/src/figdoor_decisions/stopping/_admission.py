"""Refuses calls that a stopping node would abort."""

from figdoor_decisions.retries import RouteLatencies
from figdoor_decisions.stopping._plan import StopPlan
from figdoor_kernel import Extension, Node, Refusal, RoutedCall


class StopAdmission:
    """Refuses attempts that may still run when the node aborts all calls.

    Another node can serve a call that was not run, but nobody can repeat a call
    that is not idempotent and was cut off. During the grace period, the longest
    of the route's last answers tells how long an attempt may take, or the
    objective if there is none. A call that arrives after that is accepted only
    if its deadline is before the abort, since it may take longer than any
    answer before.
    """

    def __init__(self, node: Node) -> None:
        """Use the stop plan and the latencies of the routes."""
        self._plan: StopPlan = node.part(Extension.SERVICE, 'stop-plan')
        self._latencies: RouteLatencies = node.part(
            Extension.SERVICE,
            'route-latencies',
        )

    def admit(
        self,
        routed: RoutedCall,
        attempts_made: int,
        now_ms: float,
    ) -> Refusal | None:
        """Refuse an attempt that may not end before the abort."""
        if not self._plan.has_begun:
            return None
        abort_at_ms = self._plan.abort_at_ms
        if routed.deadline_ms <= abort_at_ms:
            return None
        longest_ms = self._latencies.longest_ms(
            routed.route.name, routed.route.objective_ms
        )
        is_early = routed.opened_ms < self._plan.grace_end_ms
        if is_early and now_ms + longest_ms <= abort_at_ms:
            return None
        return Refusal.STOPPING

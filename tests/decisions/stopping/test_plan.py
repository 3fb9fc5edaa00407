"""The phases of a graceful stop."""

from support import ROUTES, make_node, publish_tables, tables

from figdoor_decisions.stopping import StopPhase, StopPlan
from figdoor_kernel import Extension, StopBegun, TablesAccepted


class TestStopPlan:
    """Guards against requests that a stopping node refuses or aborts early.

    The load balancer sends requests until it notices that the node is unready.
    """

    def setup_method(self):
        self.node = make_node()
        publish_tables(self.node)
        self.plan = self.node.part(Extension.SERVICE, 'stop-plan')
        assert isinstance(self.plan, StopPlan)

    def test_requests_get_the_longest_deadline_before_they_are_aborted(self):
        self.node.events.publish(StopBegun(300, 0))
        assert self.plan.phase(1, 299) is StopPhase.GRACE
        longest_ms = max(route.deadline_ms for route in self.node.tables.routes)
        assert self.plan.phase(1, 300 + longest_ms) is StopPhase.FINISHING
        assert self.plan.phase(1, 300 + longest_ms * 3) is StopPhase.ABORTING

    def test_tables_of_the_grace_period_prolong_the_stop(self):
        """Guards against calls aborted before a deadline that came later."""
        self.node.events.publish(StopBegun(300, 0))
        before_ms = self.plan.abort_at_ms
        for now_ms, deadline_ms in ((299, 9000), (300, 20_000)):
            longer = tables(2, ROUTES.replace('1000', str(deadline_ms)))
            self.node.events.publish(TablesAccepted(longer, now_ms))
            assert self.plan.abort_at_ms == before_ms + 8000

    def test_half_of_a_short_stop_is_left_to_finish_requests(self):
        """Guards against a stop that accepts requests until it aborts them."""
        node = make_node(stop_limit_ms=400)
        plan = node.part(Extension.SERVICE, 'stop-plan')
        node.events.publish(StopBegun(300, 0))
        assert plan.phase(1, 199) is StopPhase.GRACE
        assert plan.phase(1, 200) is StopPhase.FINISHING
        assert plan.phase(1, 400) is StopPhase.ABORTING

    def test_idle_node_is_done_only_after_the_grace_period(self):
        self.node.events.publish(StopBegun(300, 0))
        assert self.plan.phase(0, 299) is StopPhase.GRACE
        assert self.plan.phase(0, 300) is StopPhase.DONE

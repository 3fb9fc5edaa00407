"""The phases of a graceful stop."""

from support import make_node, publish_tables

from figdoor_decisions.stopping import StopPhase, StopPlan
from figdoor_kernel import Extension


class TestStopPlan:
    def setup_method(self):
        self.node = make_node()
        publish_tables(self.node)
        self.plan = self.node.part(Extension.SERVICE, 'stop-plan')
        assert isinstance(self.plan, StopPlan)

    def test_waits_for_the_longest_deadline_before_it_cuts(self):
        self.plan.begin(300, 0)
        assert self.plan.phase(1, 299) is StopPhase.GRACE
        longest_ms = max(route.deadline_ms for route in self.node.tables.routes)
        assert self.plan.phase(1, 300 + longest_ms) is StopPhase.FINISHING
        assert self.plan.phase(1, 300 + longest_ms * 3) is StopPhase.CUTTING

    def test_is_done_only_after_the_grace_even_when_idle(self):
        self.plan.begin(300, 0)
        assert self.plan.phase(0, 299) is StopPhase.GRACE
        assert self.plan.phase(0, 300) is StopPhase.DONE

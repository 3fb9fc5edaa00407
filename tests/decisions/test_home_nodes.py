"""Home nodes of cold upstreams: one, none in reach, or two."""

from cold_fleet import (
    ColdFleet,
    ColdFleetSubject,
)
from support import POOLS, give_tables, tables

from figdoor_kernel import (
    Extension,
    Refusal,
    UpdateReceived,
    UpstreamState,
    UpstreamWarm,
)

COLD = UpstreamState.COLD
SERVING = UpstreamState.SERVING


class TestHomeNode(ColdFleetSubject):
    def test_upstream_whose_home_gets_no_callers_is_warmed_by_others(self):
        """Calls ask only when nothing else is left, so w2 stayed cold."""
        fleet = ColdFleet(workers=('w1', 'w2'))
        fleet.settle()
        home = fleet.home_of('w1')
        callers = fleet.others('w1')
        w2 = UpstreamWarm('w2', fleet.workers['w2'].instance)
        for node in fleet.network.nodes.values():
            node.events.publish(UpdateReceived('n9', w2, fleet.now_ms()))
        for _ in range(3000):
            for node_id in callers:
                fleet.serve(node_id)
            if fleet.state(callers[0]) is SERVING:
                break
            fleet.advance_ms(10)
        assert fleet.workers['w1'].answers >= 12
        assert fleet.state(home) is not SERVING
        assert not fleet.overloads

    def test_new_home_without_evidence_learns_from_those_who_serve(self):
        self.fleet.warm_up()
        self.fleet.replace(self.home)
        self.fleet.settle()
        for _ in range(60):
            running = self.burst(self.other, self.third, size=3)
            assert running
            for request in running:
                request.end()
            self.fleet.advance_ms(400)
        evidence = self.fleet.part(self.home, Extension.SERVICE, 'warmth')
        now_ms = self.fleet.now_ms()
        assert evidence.warm_instance('w1', now_ms) == 'w1-1'

    def test_unreachable_home_grants_nothing_and_warm_ones_serve_on(self):
        self.fleet.network.split([self.home], [self.other, self.third])
        request = self.fleet.send(self.other)
        self.fleet.advance_ms(400)
        assert request.finish.refusal is Refusal.NO_UPSTREAM
        self.fleet.network.heal()
        self.fleet.warm_up()
        self.fleet.network.split([self.home], [self.other, self.third])
        assert len(self.burst(self.other)) == 5

    def test_replaced_home_waits_for_requests_of_its_predecessor(self):
        self.fleet.serve(self.other)
        running = self.burst(self.other)
        assert len(running) == 1
        self.fleet.replace(self.home)
        assert not self.burst(self.home, self.third)

    def test_paused_home_answers_late_and_the_permit_is_not_used(self):
        self.fleet.network.pause(self.home)
        request = self.fleet.send(self.other)
        self.fleet.advance_ms(800)
        self.fleet.network.resume(self.home)
        self.fleet.advance_ms(100)
        assert request.worker is None
        assert request.finish.refusal is Refusal.NO_UPSTREAM

    def test_home_whose_lease_ended_in_a_pause_grants_nothing(self):
        self.fleet.network.pause(self.home)
        self.fleet.advance_ms(3000)
        self.fleet.network.resume(self.home)
        assert not self.burst(self.other)

    def test_node_that_lost_the_home_role_after_the_choice_sends_nothing(self):
        request = self.fleet.send(self.home, confirms=False)
        self.fleet.listed_nodes = [self.other]
        self.fleet.list_vms(self.home)
        request.confirm()
        assert request.worker is None

    def test_home_that_sees_more_than_it_granted_halves_its_limit(self):
        for _ in range(4):
            self.fleet.serve(self.home)
        running = self.burst(self.home)
        assert len(running) == 2
        self.worker.running.extend(running)
        running[0].end()
        self.worker.running.clear()
        running[1].end()
        assert len(self.burst(self.home)) == 1


class TestTwoHomes(ColdFleetSubject):
    """VM lists that differ for longer than the lag give two homes."""

    def setup_method(self):
        super().setup_method()
        self.fleet.listed_nodes = [self.third]
        self.fleet.list_vms(self.third)
        self.fleet.settle()

    def teardown_method(self):
        """Count by the bounds that the tests state, not by one home's."""

    def agree(self):
        self.fleet.listed_nodes = list(self.fleet.network.nodes)
        self.fleet.list_vms()

    def raise_cold_limit(self):
        pools = POOLS.replace('250,         1', '250,         4')
        assert pools != POOLS
        for node in self.fleet.network.nodes.values():
            give_tables(node, tables(2, pools=pools))

    def answer_all(self):
        """End what runs in any order, so that both see the other's load."""
        running = list(self.worker.running)
        self.fleet.network.random.shuffle(running)
        for request in running:
            request.end()
        self.fleet.pass_ms(5)

    def test_they_stay_within_twice_the_allowance(self):
        assert len(self.burst()) == 2
        self.answer_all()
        assert len(self.burst()) == 2

    def test_one_limit_holds_as_soon_as_the_lists_agree(self):
        """Nothing new is sent while the request that the home granted runs."""
        running = self.burst()
        self.agree()
        assert not self.burst()
        for request in running:
            request.end()
        self.fleet.pass_ms(5)
        assert len(self.burst()) == 1

    def test_one_limit_holds_while_requests_of_both_run_to_their_deadline(self):
        self.burst()
        self.agree()
        self.fleet.advance_ms(1100)
        assert len(self.burst()) == 1

    def test_two_rounds_of_reports_bring_the_sum_within_the_allowance(self):
        """Each of them sees the other's load and halves its limit.

        Reports come with the answers that a home node gets itself.
        """
        self.raise_cold_limit()
        sums = []
        for _ in range(6):
            nodes = (self.home, self.other, self.third)
            sums.append(len(self.burst(*nodes, size=8)))
            self.answer_all()
        assert sums[0] == 8
        assert max(sums[2:]) <= 4

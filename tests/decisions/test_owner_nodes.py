"""Owners of cold upstreams: one, none reachable, or two.

Guards against upstreams that stay cold without a reachable owner, and against
upstreams that get twice the allowance while the owner changes.
"""

from cold_fleet import (
    ColdFleet,
    ColdFleetSubject,
)
from support import POOLS, publish_tables, tables

from figdoor_kernel import (
    Extension,
    Refusal,
    UpdateReceived,
    UpstreamState,
    UpstreamWarm,
)

COLD = UpstreamState.COLD
SERVING = UpstreamState.SERVING


class TestOwner(ColdFleetSubject):
    def test_upstream_whose_owner_gets_no_calls_is_warmed_by_others(self):
        """Guards against a cold upstream that no call requests a permit for.

        Calls request permits only when no warm upstream is left, and w2 is
        warm here, so w1 stayed cold.
        """
        fleet = ColdFleet(workers=('w1', 'w2'))
        fleet.wait_for_owners()
        owner = fleet.owner_of('w1')
        callers = fleet.non_owners('w1')
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
        assert fleet.state(owner) is not SERVING
        assert not fleet.overloads

    def test_new_owner_without_evidence_learns_it_from_warm_claims(self):
        self.fleet.warm_up()
        self.fleet.replace(self.owner)
        self.fleet.wait_for_owners()
        for _ in range(60):
            running = self.burst(self.other, self.third, size=3)
            assert running
            for request in running:
                request.end()
            self.fleet.advance_ms(400)
        evidence = self.fleet.part(self.owner, Extension.SERVICE, 'warmth')
        now_ms = self.fleet.now_ms()
        assert evidence.warm_instance('w1', now_ms) == 'w1-1'

    def test_unreachable_owner_grants_nothing_and_warm_upstreams_serve(self):
        self.fleet.network.split([self.owner], [self.other, self.third])
        request = self.fleet.send(self.other)
        self.fleet.advance_ms(400)
        assert request.finish.refusal is Refusal.NO_UPSTREAM
        self.fleet.network.heal()
        self.fleet.warm_up()
        self.fleet.network.split([self.owner], [self.other, self.third])
        assert len(self.burst(self.other)) == 5

    def test_replaced_owner_waits_for_requests_of_its_predecessor(self):
        self.fleet.serve(self.other)
        running = self.burst(self.other)
        assert len(running) == 1
        self.fleet.replace(self.owner)
        assert not self.burst(self.owner, self.third)

    def test_permit_that_a_paused_owner_grants_late_is_not_used(self):
        self.fleet.network.pause(self.owner)
        request = self.fleet.send(self.other)
        self.fleet.advance_ms(800)
        self.fleet.network.resume(self.owner)
        self.fleet.advance_ms(100)
        assert request.worker is None
        assert request.finish.refusal is Refusal.NO_UPSTREAM

    def test_owner_whose_lease_expired_in_a_pause_grants_nothing(self):
        self.fleet.network.pause(self.owner)
        self.fleet.advance_ms(3000)
        self.fleet.network.resume(self.owner)
        assert not self.burst(self.other)

    def test_node_that_lost_ownership_after_selection_sends_nothing(self):
        request = self.fleet.send(self.owner, auto_confirm=False)
        self.fleet.listed_nodes = [self.other]
        self.fleet.list_vms(self.owner)
        request.confirm()
        assert request.worker is None

    def test_owner_that_sees_more_than_it_granted_halves_its_limit(self):
        for _ in range(4):
            self.fleet.serve(self.owner)
        running = self.burst(self.owner)
        assert len(running) == 2
        self.worker.running.extend(running)
        running[0].end()
        self.worker.running.clear()
        running[1].end()
        assert len(self.burst(self.owner)) == 1


class TestTwoOwners(ColdFleetSubject):
    """VM lists that differ for longer than the lag lead to two owners."""

    def setup_method(self):
        super().setup_method()
        self.fleet.listed_nodes = [self.third]
        self.fleet.list_vms(self.third)
        self.fleet.wait_for_owners()

    def teardown_method(self):
        """Skip the check for one owner; the tests state other limits."""

    def unify_lists(self):
        self.fleet.listed_nodes = list(self.fleet.network.nodes)
        self.fleet.list_vms()

    def raise_cold_limit(self):
        pools = POOLS.replace('250,         1', '250,         4')
        assert pools != POOLS
        for node in self.fleet.network.nodes.values():
            publish_tables(node, tables(2, pools=pools))

    def answer_all(self):
        """End all requests in random order, so both owners see the sum."""
        running = list(self.worker.running)
        self.fleet.network.random.shuffle(running)
        for request in running:
            request.end()
        self.fleet.step_ms(5)

    def test_two_owners_stay_within_twice_the_allowance(self):
        assert len(self.burst()) == 2
        self.answer_all()
        assert len(self.burst()) == 2

    def test_one_limit_holds_as_soon_as_the_lists_agree(self):
        """Nothing new is sent while a request of the owner's permit runs."""
        running = self.burst()
        self.unify_lists()
        assert not self.burst()
        for request in running:
            request.end()
        self.fleet.step_ms(5)
        assert len(self.burst()) == 1

    def test_one_limit_holds_while_requests_of_both_run_to_their_deadline(self):
        self.burst()
        self.unify_lists()
        self.fleet.advance_ms(1100)
        assert len(self.burst()) == 1

    def test_two_rounds_of_reports_bring_the_sum_within_the_allowance(self):
        """Each owner sees the load of the other and halves its limit.

        It reads the load from reports in the answers that it gets itself.
        """
        self.raise_cold_limit()
        sums = []
        for _ in range(6):
            nodes = (self.owner, self.other, self.third)
            sums.append(len(self.burst(*nodes, size=8)))
            self.answer_all()
        assert sums[0] == 8
        assert max(sums[2:]) <= 4

"""Cold starts over several nodes: start, return to cold, leaving service.

Guards against full load on an instance that has not warmed up, as after a
restart that a node has not noticed.
"""

import pytest
from automat import NoTransition
from cold_fleet import (
    ANSWERED,
    DIED,
    FAILED,
    SLOTS,
    TIMED_OUT,
    ColdFleet,
    ColdFleetSubject,
)
from support import POOLS, publish_tables, tables

from figdoor_decisions.warmth._state_machine import (
    CurrentState,
    start_machine,
)
from figdoor_kernel import (
    Outcome,
    Refusal,
    UpdateReceived,
    UpstreamState,
    UpstreamWarm,
)

COLD = UpstreamState.COLD
SERVING = UpstreamState.SERVING


class TestUpstreamStateMachine:
    @pytest.mark.parametrize(
        'input_name', ['confirm_warm', 'return_to_service']
    )
    def test_cold_upstream_cannot_serve_before_it_answers(self, input_name):
        with pytest.raises(NoTransition):
            getattr(start_machine(CurrentState()), input_name)()

    def test_upstream_that_left_service_returns_cold(self):
        current = CurrentState()
        machine = start_machine(current)
        for send_input in (
            machine.answer,
            machine.confirm_warm,
            machine.leave_service,
        ):
            send_input()
        with pytest.raises(NoTransition):
            machine.answer()
        machine.return_to_service()
        assert current.state is COLD


class TestStart(ColdFleetSubject):
    def test_request_is_refused_as_not_run_until_an_owner_acts(self):
        fleet = ColdFleet()
        request = fleet.send('n1')
        fleet.step_ms(200)
        assert request.finish.outcome is Outcome.NOT_RUN
        assert request.finish.refusal is Refusal.NO_UPSTREAM

    def test_every_node_gets_an_answer_within_one_round_trip(self):
        for node_id in self.fleet.network.nodes:
            request = self.fleet.send(node_id)
            self.fleet.step_ms(2 * self.fleet.network.delay_ms)
            assert request.worker is self.worker
            request.end()
            self.fleet.step_ms(2)

    def test_twelve_answers_bring_an_upstream_to_full_load(self):
        for _ in range(12):
            assert self.state(self.owner) is not SERVING
            self.fleet.serve(self.other)
        assert self.fleet.serve(self.owner).sent_to
        assert self.state(self.owner) is SERVING
        self.fleet.warm_up()
        assert len(self.burst()) == 15

    def test_node_without_peers_warms_its_upstreams(self):
        fleet = ColdFleet(nodes=('n1',))
        fleet.listed_nodes = []
        fleet.list_vms()
        fleet.wait_for_owners()
        fleet.warm_up()

    def test_burst_at_a_cold_upstream_stays_within_the_allowance(self):
        assert len(self.burst()) == 1


class TestReturnToCold(ColdFleetSubject):
    def setup_method(self):
        super().setup_method()
        self.fleet.warm_up()

    def all_cold(self):
        self.fleet.step_ms(5)
        return {self.state(name) for name in self.fleet.network.nodes} == {
            COLD,
        }

    def test_restart_is_noticed_before_anything_is_sent(self):
        self.fleet.restart('w1')
        assert len(self.burst()) == 1

    def test_restart_between_selection_and_send_stops_the_send(self):
        requests = [
            self.fleet.send(name, auto_confirm=False)
            for name in self.fleet.network.nodes
        ]
        self.fleet.restart('w1')
        for request in requests:
            request.confirm()
        assert len(self.worker.running) <= 1

    def test_restart_during_a_pause_is_noticed_when_the_node_resumes(self):
        self.fleet.network.pause(self.other)
        self.fleet.restart('w1')
        self.fleet.advance_ms(1500)
        self.fleet.network.resume(self.other)
        assert len(self.burst(self.other)) <= 1

    def test_last_connection_closing_costs_only_one_permit(self):
        self.fleet.close_connections(self.other, 'w1')
        assert self.state(self.other) is UpstreamState.SUSPECT
        assert self.fleet.serve(self.other).waited
        assert len(self.burst(self.other)) == 5

    def test_new_instance_id_turns_cold(self):
        self.worker.number += 1
        self.fleet.serve(self.other)
        assert self.state(self.other) is not SERVING
        assert self.state(self.owner) is COLD

    def test_connection_that_dies_turns_cold_everywhere(self):
        self.fleet.serve(self.other, DIED)
        assert self.all_cold()
        assert len(self.burst()) == 1

    def test_two_failures_within_a_second_turn_cold(self):
        self.fleet.serve(self.other, FAILED)
        assert self.state(self.other) is SERVING
        self.fleet.serve(self.other, TIMED_OUT, time_left_ms=5)
        assert self.all_cold()

    def test_callers_that_disconnect_early_leave_it_warm(self):
        """Guards against healthy upstreams that cancelled calls turn cold."""
        for _ in range(5):
            self.fleet.serve(self.other, TIMED_OUT, time_left_ms=1000)
        assert self.state(self.other) is SERVING

    def test_callers_that_disconnect_after_a_long_wait_turn_it_cold(self):
        for _ in range(30):
            self.fleet.serve(self.other)
        requests = [self.fleet.send(self.other) for _ in range(2)]
        self.fleet.advance_ms(100)
        for request in requests:
            request.end(TIMED_OUT)
        self.fleet.step_ms(2)
        assert self.state(self.other) is COLD

    def test_two_failures_over_a_second_apart_leave_it_warm(self):
        self.fleet.serve(self.other, FAILED)
        self.fleet.advance_ms(1100)
        self.fleet.serve(self.other, FAILED)
        assert self.state(self.other) is SERVING

    def test_three_answers_above_eight_times_the_average_turn_cold(self):
        for _ in range(30):
            self.fleet.serve(self.other)
        for _ in range(3):
            assert self.state(self.other) is SERVING
            request = self.fleet.send(self.other)
            self.fleet.step_ms(60)
            request.end(ANSWERED)
        assert self.all_cold()

    def test_single_slow_answers_leave_it_warm(self):
        for _ in range(30):
            self.fleet.serve(self.other)
        for _ in range(5):
            request = self.fleet.send(self.other)
            self.fleet.step_ms(60)
            request.end(ANSWERED)
            self.fleet.serve(self.other)
        assert self.state(self.other) is SERVING

    def test_claim_that_arrives_after_its_instance_turned_cold_is_ignored(self):
        self.fleet.serve(self.other, DIED)
        claim = UpstreamWarm('w1', 'w1-1')
        node = self.fleet.network.nodes[self.third]
        self.fleet.step_ms(5)
        event = UpdateReceived(self.owner, claim, self.fleet.now_ms())
        node.events.publish(event)
        assert self.state(self.third) is COLD

    def test_evidence_expires_without_new_answers(self):
        self.fleet.advance_ms(30_100)
        assert len(self.burst()) <= SLOTS
        assert self.state(self.other) is not SERVING

    def test_upstream_warms_again(self):
        self.fleet.restart('w1')
        self.fleet.step_ms(5)
        self.fleet.warm_up()


class TestLeavingService(ColdFleetSubject):
    def setup_method(self):
        super().setup_method()
        self.fleet.warm_up()

    def publish(self, revision, zones):
        pools = POOLS.replace('z1 z2', zones)
        for node in self.fleet.network.nodes.values():
            publish_tables(node, tables(revision, pools=pools))

    def test_upstream_of_a_returning_availability_zone_is_cold(self):
        self.publish(2, 'z2')
        assert self.state(self.other) is UpstreamState.GONE
        assert not self.burst()
        self.publish(3, 'z1 z2')
        self.fleet.advance_ms(300)
        assert self.state(self.other) is COLD
        assert len(self.burst()) == 1

    def test_upstream_that_is_removed_and_listed_again_is_cold(self):
        self.fleet.list_vms(absent=('w1',))
        self.fleet.list_vms()
        assert len(self.burst()) == 1

"""The promises under any order of failures, on the real decision code.

The tests guard against combinations of failures that no other test covers.
"""

import gc

import pytest
from machine import FleetMachine, run_machine
from oracle import (
    configuration_spreads_and_never_reverts,
    leaving_upstreams_get_no_new_work,
)
from simulation import Simulation


class TestPromises:
    def test_hold_under_any_order_of_failures(self):
        run_machine(FleetMachine)


class TestReplacedNodes:
    def test_replaced_node_is_not_taken_for_one_that_was_freed(self):
        """Guards against a false report of a node that reverts its tables.

        A new node accepts a revision that its predecessor had accepted, and
        can have the id() of an earlier node that was freed.
        """
        simulation = Simulation()
        for _ in range(12):
            simulation.replace_node('n3')
            simulation.advance_ms(4000)
            gc.collect()
        configuration_spreads_and_never_reverts(simulation)


class TestLeavingDuringAnOutage:
    """Guards against requests to a draining worker while the platform is down.

    Without the VM list and without calls, only probes can show the drain.
    """

    @pytest.mark.parametrize('idle_ms', [1000, 1250, 1500, 1750])
    def test_drain_is_detected_without_vm_list_and_without_calls(self, idle_ms):
        simulation = Simulation()
        self.send(simulation, 100)
        simulation.advance_ms(idle_ms)
        simulation.drain(simulation.workers['w1'])
        simulation.service_up = False
        simulation.advance_ms(3200)
        self.send(simulation, 10)
        leaving_upstreams_get_no_new_work(simulation)

    def send(self, simulation, rounds):
        for _ in range(rounds):
            for node in ('n1', 'n2', 'n3'):
                simulation.call(node, 'GET', 'ok')
            simulation.advance_ms(20)

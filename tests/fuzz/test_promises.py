"""Every promise under failures in any order, on the real decision code."""

import gc

import pytest
from machine import FleetMachine, run_machine
from oracle import (
    configuration_is_spread_and_never_reverts,
    leaving_upstreams_get_no_new_work,
)
from world import World


class TestPromises:
    def test_hold_under_any_order_of_failures(self):
        run_machine(FleetMachine)


class TestReplacedNodes:
    def test_replaced_node_is_not_taken_for_one_that_was_freed(self):
        """Guards against a false report of a node that reverts its tables.

        A new node accepts a revision that its predecessor had accepted, and
        may be allocated where an earlier one was.
        """
        world = World()
        for _ in range(12):
            world.replace_node('n3')
            world.advance_ms(4000)
            gc.collect()
        configuration_is_spread_and_never_reverts(world)


class TestLeavingDuringAnOutage:
    @pytest.mark.parametrize('idle_ms', [1000, 1250, 1500, 1750])
    def test_drain_is_noticed_without_vm_list_and_without_load(self, idle_ms):
        world = World()
        self.send(world, 100)
        world.advance_ms(idle_ms)
        world.drain(world.workers['w1'])
        world.service_up = False
        world.advance_ms(3200)
        self.send(world, 10)
        leaving_upstreams_get_no_new_work(world)

    def send(self, world, rounds):
        for _ in range(rounds):
            for node in ('n1', 'n2', 'n3'):
                world.call(node, 'GET', 'ok')
            world.advance_ms(20)

"""Every promise under failures in any order, on the real decision code."""

from machine import FleetMachine, run_machine


class TestPromises:
    def test_hold_under_any_order_of_failures(self):
        run_machine(FleetMachine)

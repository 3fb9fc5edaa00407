"""Tables while only a part of the fleet reaches the configuration service.

The tests guard against a node that goes on sending under old tables because
it has not read a change that another part of a split fleet has read.
"""

import pytest
from oracle import configuration_spreads_and_never_reverts
from simulation import Simulation


class SplitFleet:
    """A fleet that has served for long enough to hold its lease."""

    def setup_method(self):
        self.simulation = Simulation()
        self.serve(4000)

    def serve(self, total_ms):
        """Send calls to every node; return the nodes that sent any."""
        before = len(self.simulation.sent_requests)
        for _ in range(total_ms // 100):
            for node in ('n1', 'n2', 'n3'):
                self.simulation.call(node, 'GET', 'ok')
            self.simulation.advance_ms(100)
        return {
            request.node for request in self.simulation.sent_requests[before:]
        }

    def split_off_n1(self):
        self.simulation.network.split(['n1'], ['n2', 'n3'])


class TestSplit(SplitFleet):
    """Guards against a part that goes on sending under old tables."""

    @pytest.mark.parametrize('reader', ['n1', 'n2'])
    def test_change_read_by_one_part_leaves_no_requests_under_old_tables(
        self, reader
    ):
        self.split_off_n1()
        self.simulation.nodes_without_service = {'n1', 'n2', 'n3'} - {reader}
        self.simulation.publish({'z2'})
        self.serve(6000)
        configuration_spreads_and_never_reverts(self.simulation)

    def test_isolated_node_with_stale_tables_sends_nothing_under_them(self):
        self.split_off_n1()
        self.simulation.nodes_served_stale = {'n1'}
        self.serve(3000)
        self.simulation.publish({'z2'})
        self.serve(4000)
        configuration_spreads_and_never_reverts(self.simulation)

    def test_change_comes_into_force_once_the_split_heals(self):
        self.split_off_n1()
        self.simulation.nodes_without_service = {'n2', 'n3'}
        self.simulation.publish({'z2'})
        self.serve(4000)
        self.simulation.network.heal()
        self.serve(1000)
        assert {node.tables.revision for node in self.nodes()} == {2}

    def nodes(self):
        return self.simulation.network.nodes.values()


class TestAvailability(SplitFleet):
    """Guards against a lease rule that stops a part with a majority."""

    def test_whole_fleet_serves_while_the_service_is_down(self):
        self.simulation.service_up = False
        self.serve(30_000)
        assert self.serve(1000) == {'n1', 'n2', 'n3'}

    @pytest.mark.parametrize('unreached', [set(), {'n1', 'n2', 'n3'}])
    def test_larger_part_serves_with_and_without_the_service(self, unreached):
        self.split_off_n1()
        self.simulation.nodes_without_service = unreached
        self.serve(3000)
        assert self.serve(1000) == {'n2', 'n3'}

    def test_change_read_by_one_node_reaches_all_connected_nodes(self):
        """Guards against nodes that wait to read the change themselves."""
        self.simulation.nodes_without_service = {'n1', 'n2'}
        self.simulation.publish({'z2'})
        self.serve(1000)
        assert {
            request.zone for request in self.simulation.sent_requests[-9:]
        } == {'z2'}

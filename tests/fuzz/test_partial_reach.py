"""Tables while only a part of the fleet reaches the configuration service."""

import pytest
from oracle import configuration_is_spread_and_never_reverts
from world import World


class Subject:
    def setup_method(self):
        self.world = World()
        self.serve(4000)

    def serve(self, total_ms):
        """Let callers send to every node for a while; return the answers."""
        before = len(self.world.sent)
        for _ in range(total_ms // 100):
            for node in ('n1', 'n2', 'n3'):
                self.world.call(node, 'GET', 'ok')
            self.world.advance_ms(100)
        return {sent.node for sent in self.world.sent[before:]}

    def split_off_n1(self):
        self.world.network.split(['n1'], ['n2', 'n3'])


class TestSplit(Subject):
    """One part reads a change; the other part must not go on without it."""

    @pytest.mark.parametrize('reader', ['n1', 'n2'])
    def test_change_read_in_one_part_only(self, reader):
        self.split_off_n1()
        self.world.cut_from_service = {'n1', 'n2', 'n3'} - {reader}
        self.world.publish({'z2'})
        self.serve(6000)
        configuration_is_spread_and_never_reverts(self.world)

    def test_node_alone_with_a_stale_service_stops(self):
        self.split_off_n1()
        self.world.served_stale = {'n1'}
        self.serve(3000)
        self.world.publish({'z2'})
        self.serve(4000)
        configuration_is_spread_and_never_reverts(self.world)

    def test_change_comes_into_force_once_the_split_heals(self):
        self.split_off_n1()
        self.world.cut_from_service = {'n2', 'n3'}
        self.world.publish({'z2'})
        self.serve(4000)
        self.world.network.heal()
        self.serve(1000)
        assert {node.tables.revision for node in self.nodes()} == {2}

    def nodes(self):
        return self.world.network.nodes.values()


class TestAvailability(Subject):
    """What the rule costs: only a part without a majority stops."""

    def test_whole_fleet_serves_while_the_service_is_down(self):
        self.world.service_up = False
        self.serve(30_000)
        assert self.serve(1000) == {'n1', 'n2', 'n3'}

    @pytest.mark.parametrize('unreached', [set(), {'n1', 'n2', 'n3'}])
    def test_larger_part_serves_with_and_without_the_service(self, unreached):
        self.split_off_n1()
        self.world.cut_from_service = unreached
        self.serve(3000)
        assert self.serve(1000) == {'n2', 'n3'}

    def test_single_reader_of_a_whole_fleet_spreads_the_change(self):
        self.world.cut_from_service = {'n1', 'n2'}
        self.world.publish({'z2'})
        self.serve(1000)
        assert {sent.zone for sent in self.world.sent[-9:]} == {'z2'}

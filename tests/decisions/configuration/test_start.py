"""The first tables of a node that starts with an empty memory."""

from config_fleet import Fleet, holds, offer, part, revision_of, running_fleet
from network import TICK_MS, Network
from support import Recorder

from figdoor_kernel import (
    TablesAccepted,
)


class TestStart:
    def test_whole_fleet_that_starts_together_is_quick(self):
        fleet = Fleet(20)
        fleet.offer_all(5)
        fleet.network.advance_ms(500)
        assert fleet.revisions() == {5}

    def test_restarted_node_does_not_take_an_old_value(self):
        fleet = running_fleet(5, revision=7)
        node = fleet.restart('n0')
        accepted = Recorder(node, TablesAccepted)
        offer(node, 3)
        fleet.network.advance_ms(1500)
        assert [event.tables.revision for event in accepted.events] == [7]

    def test_restarted_node_gets_tables_while_the_service_is_down(self):
        fleet = running_fleet(5, revision=7)
        node = fleet.restart('n0')
        fleet.network.advance_ms(1500)
        assert revision_of(node) == 7
        assert holds(node)

    def test_nodes_replaced_together_do_not_confirm_an_old_value(self):
        fleet = running_fleet(16, revision=7)
        accepted = []
        for name in fleet.names[:5]:
            node = fleet.restart(name)
            accepted.append(Recorder(node, TablesAccepted))
            offer(node, 3)
        fleet.network.advance_ms(3500)
        assert {
            event.tables.revision
            for recorder in accepted
            for event in recorder.events
        } == {7}

    def test_node_without_answers_waits_for_its_neighbours(self):
        fleet = Fleet(2)
        fleet.network.split(['n0'], ['n1'])
        fleet.network.advance_ms(TICK_MS)
        offer(fleet['n0'], 5)
        fleet.network.advance_ms(6000)
        assert revision_of(fleet['n0']) == 0
        assert 'neighbours' in part(fleet['n0'], 'acceptance').waits_for(
            fleet.network.clock.now_ms(),
        )
        fleet.network.heal()
        fleet.network.advance_ms(600)
        assert revision_of(fleet['n0']) == 5

    def test_missing_neighbour_is_waited_for_until_the_time_out(self):
        fleet = Fleet(5)
        lost = part(fleet['n0'], 'neighbours').on_ring[0]
        fleet.network.cut = {('n0', lost), (lost, 'n0')}
        fleet.network.advance_ms(TICK_MS)
        offer(fleet['n0'], 5)
        fleet.network.advance_ms(2800)
        assert revision_of(fleet['n0']) == 0
        fleet.network.advance_ms(300)
        assert revision_of(fleet['n0']) == 5

    def test_list_that_does_not_show_the_node_proves_nothing(self):
        network = Network('n0')
        node = network.nodes['n0']
        network.list_nodes('other')
        network.list_nodes('other', readers=['n0'])
        offer(node, 5)
        network.advance_ms(1000)
        assert revision_of(node) == 0

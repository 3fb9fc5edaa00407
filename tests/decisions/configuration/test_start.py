"""The first tables of a node that starts without state."""

from config_fleet import (
    Fleet,
    holds_lease,
    offer,
    part,
    revision_of,
    running_fleet,
)
from network import TICK_MS, Network
from support import Recorder

from figdoor_kernel import (
    TablesAccepted,
)


class TestStart:
    """Guards against a started node that accepts tables older than its peers'.

    The configuration service may return an old revision, and the node has lost
    the newer one that it had before the restart.
    """

    def test_fleet_that_starts_together_accepts_within_500_ms(self):
        fleet = Fleet(20)
        fleet.offer_all(5)
        fleet.network.advance_ms(500)
        assert fleet.revisions() == {5}

    def test_restarted_node_does_not_accept_old_revision(self):
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
        assert holds_lease(node)

    def test_nodes_replaced_together_do_not_accept_old_revision(self):
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

    def test_node_without_acknowledgements_waits_for_its_neighbours(self):
        fleet = Fleet(2)
        fleet.network.split(['n0'], ['n1'])
        fleet.network.advance_ms(TICK_MS)
        offer(fleet['n0'], 5)
        fleet.network.advance_ms(6000)
        assert revision_of(fleet['n0']) == 0
        assert 'neighbours' in part(fleet['n0'], 'acceptance').wait_reason(
            fleet.network.clock.now_ms(),
        )
        fleet.network.heal()
        fleet.network.advance_ms(600)
        assert revision_of(fleet['n0']) == 5

    def test_node_waits_for_missing_neighbour_until_the_timeout(self):
        fleet = Fleet(5)
        lost = part(fleet['n0'], 'neighbours').on_ring[0]
        fleet.network.cut = {('n0', lost), (lost, 'n0')}
        fleet.network.advance_ms(TICK_MS)
        offer(fleet['n0'], 5)
        fleet.network.advance_ms(2800)
        assert revision_of(fleet['n0']) == 0
        fleet.network.advance_ms(300)
        assert revision_of(fleet['n0']) == 5

    def test_node_waits_when_the_vm_list_does_not_contain_it(self):
        network = Network('n0')
        node = network.nodes['n0']
        network.list_nodes('other')
        network.list_nodes('other', readers=['n0'])
        offer(node, 5)
        network.advance_ms(1000)
        assert revision_of(node) == 0

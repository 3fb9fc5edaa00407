"""How long a node acts on its tables without confirmation."""

import pytest
from config_fleet import holds, offer, part, revision_of, running_fleet
from network import TICK_MS
from support import Recorder

from figdoor_kernel import (
    ConfigReadFailed,
    HeartbeatAck,
    PeerMessageReceived,
    PeerSendRequested,
    StopNotice,
)


class TestLeaseByNeighbours:
    @pytest.mark.parametrize('size', [2, 5, 20])
    def test_fleet_keeps_its_leases_while_the_service_is_down(self, size):
        fleet = running_fleet(size)
        for _ in range(100):
            fleet.network.advance_ms(100)
            assert all(map(holds, fleet.network.nodes.values()))

    def test_node_cut_off_from_its_neighbours_loses_it(self):
        fleet = running_fleet(8)
        fleet.network.split(['n0'], fleet.names[1:])
        fleet.network.advance_ms(2000 + TICK_MS + 550)
        assert not holds(fleet['n0'])

    def test_service_alone_does_not_renew_it(self):
        """It may be stale, which a node without its neighbours cannot see."""
        fleet = running_fleet(8)
        fleet.network.split(['n0'], fleet.names[1:])
        fleet.network.advance_ms(4000)
        for _ in range(8):
            offer(fleet['n0'], 5)
            assert not holds(fleet['n0'])
            fleet.network.advance_ms(500)
        fleet.network.heal()
        fleet.network.advance_ms(600)
        assert holds(fleet['n0'])

    def test_neighbour_that_has_not_joined_confirms_nothing(self):
        """It may have held a newer revision before it was replaced."""
        fleet = running_fleet(2)
        fleet.network.is_lost = lambda sender, *_: sender == 'n0'
        fleet.restart('n1')
        fleet.network.is_lost = lambda *_: False
        fleet.network.fetch = lambda node, peer: None
        fleet.network.advance_ms(3000)
        assert not holds(fleet['n0'])

    def test_lease_needs_half_of_the_neighbours(self):
        fleet = running_fleet(20)
        ring = part(fleet['n0'], 'neighbours').on_ring
        fleet.network.cut = {('n0', peer) for peer in ring[:2]}
        fleet.network.advance_ms(5000)
        assert holds(fleet['n0'])
        fleet.network.cut = {('n0', peer) for peer in ring[:3]}
        fleet.network.advance_ms(5000)
        assert not holds(fleet['n0'])

    def test_late_acknowledgement_proves_only_the_time_of_sending(self):
        fleet = running_fleet(2)
        fleet.network.split(['n0'], ['n1'])
        sent = Recorder(fleet['n0'], PeerSendRequested)
        fleet.network.advance_ms(3000)
        late = sent.events[0].message.token_ms
        self.acknowledge(fleet['n0'], late)
        assert not holds(fleet['n0'])
        self.acknowledge(fleet['n0'], sent.events[-1].message.token_ms)
        assert holds(fleet['n0'])

    def test_token_that_was_not_sent_proves_nothing(self):
        fleet = running_fleet(2)
        fleet.network.split(['n0'], ['n1'])
        fleet.network.advance_ms(3000)
        self.acknowledge(fleet['n0'], fleet.network.clock.now_ms() - 1)
        assert not holds(fleet['n0'])

    def acknowledge(self, node, token_ms):
        ack = HeartbeatAck(token_ms, revision_of(node))
        now_ms = node.clock.now_ms()
        node.events.publish(PeerMessageReceived('n1', ack, now_ms))

    def test_paused_node_does_not_act_on_superseded_tables(self):
        fleet = running_fleet(4)
        fleet.network.pause('n0')
        offer(fleet['n1'], 6)
        fleet.network.advance_ms(3000)
        fleet.network.resume('n0')
        for _ in range(200):
            if holds(fleet['n0']):
                break
            fleet.network.advance_ms(10)
        assert revision_of(fleet['n0']) == 6

    def test_stale_service_confirms_nothing_once_a_peer_is_newer(self):
        fleet = running_fleet(4)
        fleet.network.fetch = lambda node, peer: None
        offer(fleet['n1'], 6)
        for _ in range(50):
            fleet.network.advance_ms(100)
            offer(fleet['n0'], 5)
        assert not holds(fleet['n0'])

    def test_claim_that_no_peer_repeats_is_void_after_one_lease(self):
        fleet = running_fleet(1)
        part(fleet['n0'], 'config-lease').note_newer(
            9,
            fleet.network.clock.now_ms(),
        )
        fleet.network.advance_ms(2100)
        offer(fleet['n0'], 5)
        assert holds(fleet['n0'])

    def test_only_node_keeps_it_while_reads_of_the_service_fail(self):
        fleet = running_fleet(1)
        for _ in range(10):
            fleet.network.advance_ms(1000)
            now_ms = fleet.network.clock.now_ms()
            fleet['n0'].events.publish(ConfigReadFailed(now_ms, now_ms))
            assert holds(fleet['n0'])

    def test_failed_reads_do_not_help_a_node_with_neighbours(self):
        fleet = running_fleet(2)
        fleet.network.split(['n0'], ['n1'])
        for _ in range(30):
            fleet.network.advance_ms(100)
            now_ms = fleet.network.clock.now_ms()
            fleet['n0'].events.publish(ConfigReadFailed(now_ms, now_ms))
        assert not holds(fleet['n0'])

    def test_neighbour_that_said_farewell_is_not_missed(self):
        fleet = running_fleet(2)
        leaving = fleet['n1']
        part(leaving, 'heartbeats').stop()
        fleet.network.advance_ms(TICK_MS)
        fleet.network.remove('n1')
        assert part(fleet['n0'], 'heartbeats').alone

    def test_farewell_is_sent_along_all_edges(self):
        fleet = running_fleet(8)
        told = []
        fleet.network.is_lost = lambda _, target, message: (
            isinstance(message, StopNotice) and told.append(target)
        )
        part(fleet['n0'], 'heartbeats').stop()
        assert set(part(fleet['n0'], 'neighbours').on_ring) <= set(told)

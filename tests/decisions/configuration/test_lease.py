"""Renewal and expiry of the config lease."""

import pytest
from config_fleet import holds_lease, offer, part, revision_of, running_fleet
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
    """Guards against a node that uses superseded tables.

    It would do so if its lease were renewed by something that does not show
    that its tables are the newest: a read of a stale service, an old
    acknowledgement or a neighbour without state.
    """

    @pytest.mark.parametrize('size', [2, 5, 20])
    def test_leases_are_renewed_while_the_service_is_down(self, size):
        fleet = running_fleet(size)
        for _ in range(100):
            fleet.network.advance_ms(100)
            assert all(map(holds_lease, fleet.network.nodes.values()))

    def test_lease_expires_when_node_is_cut_off_from_its_neighbours(self):
        fleet = running_fleet(8)
        fleet.network.split(['n0'], fleet.names[1:])
        fleet.network.advance_ms(2000 + TICK_MS + 550)
        assert not holds_lease(fleet['n0'])

    def test_reads_of_the_service_do_not_renew_lease_without_neighbours(self):
        """The service may be stale, which only neighbours can show."""
        fleet = running_fleet(8)
        fleet.network.split(['n0'], fleet.names[1:])
        fleet.network.advance_ms(4000)
        for _ in range(8):
            offer(fleet['n0'], 5)
            assert not holds_lease(fleet['n0'])
            fleet.network.advance_ms(500)
        fleet.network.heal()
        fleet.network.advance_ms(600)
        assert holds_lease(fleet['n0'])

    def test_neighbour_that_has_not_joined_confirms_nothing(self):
        """It may have had a newer revision before it was replaced."""
        fleet = running_fleet(2)
        fleet.network.is_lost = lambda sender, *_: sender == 'n0'
        fleet.restart('n1')
        fleet.network.is_lost = lambda *_: False
        fleet.network.fetch = lambda node, peer: None
        fleet.network.advance_ms(3000)
        assert not holds_lease(fleet['n0'])

    def test_lease_expires_when_less_than_half_of_the_neighbours_answer(self):
        fleet = running_fleet(20)
        ring = part(fleet['n0'], 'neighbours').on_ring
        fleet.network.cut = {('n0', peer) for peer in ring[:2]}
        fleet.network.advance_ms(5000)
        assert holds_lease(fleet['n0'])
        fleet.network.cut = {('n0', peer) for peer in ring[:3]}
        fleet.network.advance_ms(5000)
        assert not holds_lease(fleet['n0'])

    def test_late_acknowledgement_confirms_only_its_send_time(self):
        fleet = running_fleet(2)
        fleet.network.split(['n0'], ['n1'])
        sent = Recorder(fleet['n0'], PeerSendRequested)
        fleet.network.advance_ms(3000)
        late_ms = sent.events[0].message.token_ms
        self.acknowledge(fleet['n0'], late_ms)
        assert not holds_lease(fleet['n0'])
        self.acknowledge(fleet['n0'], sent.events[-1].message.token_ms)
        assert holds_lease(fleet['n0'])

    def test_acknowledgement_with_unknown_token_does_not_renew_lease(self):
        fleet = running_fleet(2)
        fleet.network.split(['n0'], ['n1'])
        fleet.network.advance_ms(3000)
        self.acknowledge(fleet['n0'], fleet.network.clock.now_ms() - 1)
        assert not holds_lease(fleet['n0'])

    def acknowledge(self, node, token_ms):
        ack = HeartbeatAck(token_ms, revision_of(node))
        now_ms = node.clock.now_ms()
        node.events.publish(PeerMessageReceived('n1', ack, now_ms))

    def test_resumed_node_gets_newest_tables_before_its_lease_is_valid(self):
        fleet = running_fleet(4)
        fleet.network.pause('n0')
        offer(fleet['n1'], 6)
        fleet.network.advance_ms(3000)
        fleet.network.resume('n0')
        for _ in range(200):
            if holds_lease(fleet['n0']):
                break
            fleet.network.advance_ms(10)
        assert revision_of(fleet['n0']) == 6

    def test_stale_service_does_not_renew_lease_when_a_peer_is_newer(self):
        fleet = running_fleet(4)
        fleet.network.fetch = lambda node, peer: None
        offer(fleet['n1'], 6)
        for _ in range(50):
            fleet.network.advance_ms(100)
            offer(fleet['n0'], 5)
        assert not holds_lease(fleet['n0'])

    def test_newer_revision_that_no_peer_repeats_expires_after_one_lease(self):
        fleet = running_fleet(1)
        part(fleet['n0'], 'config-lease').record_newer(
            9,
            fleet.network.clock.now_ms(),
        )
        fleet.network.advance_ms(2100)
        offer(fleet['n0'], 5)
        assert holds_lease(fleet['n0'])

    def test_single_node_keeps_its_lease_while_reads_of_the_service_fail(self):
        fleet = running_fleet(1)
        for _ in range(10):
            fleet.network.advance_ms(1000)
            now_ms = fleet.network.clock.now_ms()
            fleet['n0'].events.publish(ConfigReadFailed(now_ms, now_ms))
            assert holds_lease(fleet['n0'])

    def test_failed_reads_do_not_renew_lease_of_node_with_neighbours(self):
        fleet = running_fleet(2)
        fleet.network.split(['n0'], ['n1'])
        for _ in range(30):
            fleet.network.advance_ms(100)
            now_ms = fleet.network.clock.now_ms()
            fleet['n0'].events.publish(ConfigReadFailed(now_ms, now_ms))
        assert not holds_lease(fleet['n0'])

    def test_stopped_neighbour_is_not_counted(self):
        fleet = running_fleet(2)
        leaving = fleet['n1']
        part(leaving, 'heartbeats').stop()
        fleet.network.advance_ms(TICK_MS)
        fleet.network.remove('n1')
        assert part(fleet['n0'], 'heartbeats').is_alone

    def test_stop_notice_is_sent_to_all_neighbours(self):
        fleet = running_fleet(8)
        targets = []
        fleet.network.is_lost = lambda _, target, message: (
            isinstance(message, StopNotice) and targets.append(target)
        )
        part(fleet['n0'], 'heartbeats').stop()
        assert set(part(fleet['n0'], 'neighbours').on_ring) <= set(targets)

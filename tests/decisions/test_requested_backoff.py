"""Pauses that upstreams ask for, and upstreams that say that they leave."""

import pytest
from store_fleet import StoreNode, worker
from support import (
    Recorder,
    make_call,
    make_node,
    publish_tables,
    publish_vm_list,
    upstream_vm,
)

from figdoor_kernel import (
    BackoffRequested,
    BroadcastRequested,
    Dispatcher,
    Finish,
    LeavingSeen,
    LoadReport,
    NodeId,
    ReportSeen,
    Send,
    Tick,
    UpdateReceived,
    UpstreamDraining,
    Wait,
)


class Rig(StoreNode):
    """A node with two idle upstreams."""

    def __init__(self, *workers):
        super().__init__(*(workers or (worker('a'), worker('b'))))
        self.set_load('a')
        self.set_load('b')

    def ask_for_pause(self, name, duration_ms):
        event = BackoffRequested(name, duration_ms, self.now_ms)
        self.node.events.publish(event)

    def say_leaving(self, name):
        self.node.events.publish(LeavingSeen(name, self.now_ms))

    def selected(self, calls=8):
        """Return the upstreams that calls are sent to."""
        steps = [self.next_step() for _ in range(calls)]
        return {
            step.upstream.upstream_id
            for step in steps
            if isinstance(step, Send)
        }

    def advance_ms(self, duration_ms):
        self.clock.advance_ms(duration_ms)
        self.node.events.publish(Tick(self.now_ms))


class TestRequestedBackoff:
    def test_nothing_is_sent_until_the_pause_ends(self):
        """Guards against load on an upstream that has asked for none."""
        rig = Rig()
        rig.ask_for_pause('a', 2000)
        assert rig.selected() == {'b'}
        rig.advance_ms(1900)
        assert rig.selected() == {'b'}
        rig.advance_ms(200)
        assert rig.selected(20) == {'a', 'b'}

    def test_shorter_request_does_not_end_a_longer_pause(self):
        rig = Rig()
        rig.ask_for_pause('a', 2000)
        rig.ask_for_pause('a', 10)
        rig.advance_ms(500)
        assert rig.selected() == {'b'}

    def test_pause_holds_while_the_entry_is_away(self):
        """Guards against an entry that lapses and returns within the pause."""
        rig = Rig()
        rig.ask_for_pause('a', 2000)
        rig.publish_workers(worker('b'))
        rig.publish_workers(worker('a'), worker('b'))
        assert rig.selected() == {'b'}

    def test_next_instance_has_asked_for_nothing(self):
        rig = Rig()
        rig.ask_for_pause('a', 60_000)
        rig.publish_workers(worker('a', instance='2'))
        assert rig.selected() == {'a'}

    def test_pause_ends_an_attempt_that_was_already_selected(self):
        """Guards against a call that waited for its connection."""
        rig = Rig(worker('a'))
        exchange = rig.open()
        assert isinstance(rig.next_step(exchange), Send)
        rig.ask_for_pause('a', 2000)
        assert not exchange.confirm_send(rig.now_ms)

    def test_call_is_refused_at_once_if_all_upstreams_want_a_pause(self):
        """Guards against calls that are held although nothing can serve them."""
        rig = Rig()
        rig.ask_for_pause('a', 3000)
        rig.ask_for_pause('b', 5000)
        step = rig.open().next_step(rig.now_ms)
        assert isinstance(step, Finish)
        assert 3000 <= step.retry_after_ms <= 3000 + 1.5 * 400

    def test_call_waits_for_the_end_of_a_short_pause(self):
        rig = Rig(worker('a'))
        rig.ask_for_pause('a', 60)
        step = rig.open().next_step(rig.now_ms)
        assert step == Wait(rig.now_ms + 60)


class TestLeaving:
    def test_leaving_upstream_gets_nothing_though_listed_as_ready(self):
        """Guards against requests to an upstream that is about to stop."""
        rig = Rig()
        rig.say_leaving('a')
        rig.publish_workers(worker('a'), worker('b'))
        assert rig.selected() == {'b'}

    def test_entry_that_returns_names_the_same_instance(self):
        rig = Rig()
        rig.say_leaving('a')
        rig.publish_workers(worker('b'))
        rig.publish_workers(worker('a'), worker('b'))
        assert rig.selected() == {'b'}

    def test_new_instance_under_the_same_id_is_used(self):
        rig = Rig()
        rig.say_leaving('a')
        rig.publish_workers(worker('a', instance='2'))
        assert rig.selected() == {'a'}

    def test_call_that_was_already_placed_is_not_sent(self):
        """Guards against a retry or a queued call that was placed before."""
        rig = Rig(worker('a'))
        exchange = rig.open()
        assert isinstance(rig.next_step(exchange), Send)
        rig.say_leaving('a')
        rig.clock.advance_ms(5000)
        assert not exchange.confirm_send(rig.now_ms)

    def test_other_nodes_are_told_once(self):
        rig = Rig()
        told = Recorder(rig.node, BroadcastRequested)
        rig.say_leaving('a')
        rig.say_leaving('a')
        updates = [event.update for event in told.events]
        assert updates == [UpstreamDraining('a', '1')]

    @pytest.mark.parametrize(
        ('instance', 'selected'), [('1', {'b'}), ('0', {'a', 'b'})]
    )
    def test_update_of_a_peer_applies_to_its_instance(self, instance, selected):
        """Guards against old news about an earlier instance."""
        rig = Rig()
        update = UpstreamDraining('a', instance)
        rig.node.events.publish(
            UpdateReceived(NodeId('n2'), update, rig.now_ms)
        )
        assert rig.selected(20) == selected


class TestListWithoutInstances:
    """Upstreams of a VM list that does not name their instances."""

    def test_update_before_the_first_list_holds_until_a_new_instance(self):
        """Guards against requests to an upstream that drains at a start."""
        node = make_node()
        publish_tables(node)
        update = UpstreamDraining('w1', 'ab')
        node.events.publish(UpdateReceived(NodeId('n2'), update, 0))
        publish_vm_list(node, upstream_vm('w1'))
        dispatcher = Dispatcher(node)
        step = dispatcher.open(make_call(), 0, lambda: None).next_step(0)
        assert not isinstance(step, Send)
        node.events.publish(ReportSeen('w1', LoadReport('cd', 0), 0))
        step = dispatcher.open(make_call(), 0, lambda: None).next_step(0)
        assert isinstance(step, Send)

"""Delivery of flooded updates over a simulated network."""

from random import Random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from network import Network
from support import Recorder

from figdoor_kernel import (
    BroadcastRequested,
    FloodedUpdate,
    MissedUpdatesRequest,
    UpdateReceived,
    UpstreamTurnedCold,
    UpstreamWarm,
)


def make_network(size, **options):
    network = Network(*(f'n{number}' for number in range(size)), **options)
    network.list_nodes()
    record(network)
    return network


def record(network):
    network.received = {
        name: Recorder(node, UpdateReceived)
        for name, node in network.nodes.items()
    }


def broadcast(network, origin, upstream='w1', kind=UpstreamTurnedCold):
    update = kind(upstream, 'a')
    node = network.nodes[origin]
    node.events.publish(BroadcastRequested(update, network.clock.now_ms()))
    return update


def count_received(network, update):
    """Return how often each node received the update."""
    return {
        name: sum(event.update == update for event in recorder.events)
        for name, recorder in network.received.items()
    }


def advance_hops(network, hops):
    """Advance by the delay of this many links in sequence."""
    for _ in range(hops):
        network.advance_ms(network.delay_ms)


def expect_once(network, origin, update):
    counts = count_received(network, update)
    assert counts.pop(origin) == 0
    assert set(counts.values()) == {1}, counts


class TestFlooding:
    """Guards against updates that a node misses or receives twice."""

    @pytest.mark.parametrize('size', [2, 3, 20, 64])
    def test_update_reaches_every_node_once_within_log2_n_hops(self, size):
        network = make_network(size)
        update = broadcast(network, 'n1')
        advance_hops(network, max(1, (size - 1).bit_length()))
        expect_once(network, 'n1', update)

    def test_update_of_restarted_origin_is_not_a_duplicate(self):
        network = make_network(8)
        for number in range(5):
            broadcast(network, 'n3', f'w{number}')
        network.advance_ms(100)
        network.add('n3')
        network.list_nodes()
        record(network)
        update = broadcast(network, 'n3', 'w9')
        network.advance_ms(100)
        expect_once(network, 'n3', update)

    def test_node_missing_from_most_vm_lists_sends_and_receives_updates(self):
        network = make_network(16)
        network.add('new')
        network.received['new'] = Recorder(network.nodes['new'], UpdateReceived)
        everyone = tuple(network.nodes)
        network.list_nodes(*everyone, readers=['new'])
        network.advance_ms(1000)
        update = broadcast(network, 'n5')
        advance_hops(network, 6)
        expect_once(network, 'n5', update)
        update = broadcast(network, 'new', 'w2')
        advance_hops(network, 6)
        expect_once(network, 'new', update)

    def test_update_lost_on_every_link_is_requested_after_heartbeats(self):
        network = make_network(16)
        network.advance_ms(2000)
        network.is_lost = lambda _, __, message: isinstance(
            message, FloodedUpdate
        )
        update = broadcast(network, 'n1')
        network.advance_ms(100)
        network.is_lost = lambda *_: False
        network.advance_ms(2500)
        expect_once(network, 'n1', update)

    @pytest.mark.parametrize('seed', range(3))
    def test_updates_arrive_once_when_a_third_of_messages_is_lost(self, seed):
        network = make_network(16)
        network.advance_ms(1000)
        random = Random(seed)
        network.is_lost = lambda *_: random.random() < 0.33
        updates = [
            broadcast(network, 'n1', f'w{number}') for number in range(20)
        ]
        network.advance_ms(3000)
        for update in updates:
            expect_once(network, 'n1', update)

    def test_both_sides_of_a_split_receive_missed_updates_afterwards(self):
        network = make_network(8)
        names = sorted(network.nodes)
        network.advance_ms(1000)
        network.split(names[:3], names[3:])
        network.advance_ms(10_000)
        updates = [
            broadcast(network, names[0], 'w1'),
            broadcast(network, names[7], 'w2'),
        ]
        network.advance_ms(10_000)
        network.heal()
        network.advance_ms(2500)
        expect_once(network, names[0], updates[0])
        expect_once(network, names[7], updates[1])

    def test_lost_warm_claim_is_not_retransmitted(self):
        network = make_network(4)
        network.advance_ms(1000)
        network.is_lost = lambda _, __, message: isinstance(
            message, FloodedUpdate
        )
        update = broadcast(network, 'n1', kind=UpstreamWarm)
        network.advance_ms(100)
        network.is_lost = lambda *_: False
        network.advance_ms(2000)
        assert not any(count_received(network, update).values())

    def test_paused_node_receives_update_once_when_it_resumes(self):
        network = make_network(6)
        network.advance_ms(1000)
        network.pause('n2')
        update = broadcast(network, 'n1')
        network.advance_ms(3000)
        network.resume('n2')
        network.advance_ms(2000)
        expect_once(network, 'n1', update)

    def test_nothing_is_requested_when_nothing_is_missed(self):
        network = make_network(8)
        messages = []
        network.is_lost = lambda _, __, message: messages.append(message)
        network.advance_ms(1000)
        broadcast(network, 'n1')
        network.advance_ms(3000)
        assert not [
            sent for sent in messages if isinstance(sent, MissedUpdatesRequest)
        ]


class FloodingMachine(RuleBasedStateMachine):
    """Random broadcasts among nodes that are cut off, paused and restarted.

    Guards against an update that one run of a node receives twice.
    """

    def __init__(self):
        super().__init__()
        self.network = make_network(5)
        self.broadcast_count = 0

    @rule(node=st.integers(0, 4))
    def broadcast(self, node):
        if f'n{node}' not in self.network.paused:
            self.broadcast_count += 1
            broadcast(self.network, f'n{node}', f'w{self.broadcast_count}')

    @rule(node=st.integers(0, 4))
    def restart(self, node):
        name = f'n{node}'
        self.network.paused.pop(name, None)
        self.network.add(name)
        self.network.list_nodes(readers=[name])
        self.network.received[name] = Recorder(
            self.network.nodes[name],
            UpdateReceived,
        )

    @rule(size=st.integers(0, 4))
    def split(self, size):
        names = sorted(self.network.nodes)
        self.network.split(names[:size], names[size:])

    @rule(node=st.integers(0, 4))
    def pause_or_resume(self, node):
        name = f'n{node}'
        if name in self.network.paused:
            self.network.resume(name)
        else:
            self.network.pause(name)

    @rule(duration_ms=st.integers(1, 3000))
    def wait(self, duration_ms):
        self.network.advance_ms(duration_ms)

    @invariant()
    def no_run_of_a_node_receives_an_update_twice(self):
        for recorder in self.network.received.values():
            updates = [event.update for event in recorder.events]
            assert len(updates) == len(set(updates))


TestFloodingMachine = FloodingMachine.TestCase
TestFloodingMachine.settings = settings(
    max_examples=40,
    stateful_step_count=25,
)

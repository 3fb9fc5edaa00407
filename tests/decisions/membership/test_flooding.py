"""News over a fake network: to every node, once, in spite of losses."""

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


def tell(network, origin, upstream='w1', kind=UpstreamTurnedCold):
    news = kind(upstream, 'a')
    node = network.nodes[origin]
    node.events.publish(BroadcastRequested(news, network.clock.now_ms()))
    return news


def heard(network, news):
    """Return how often each node heard the news."""
    return {
        name: sum(event.update == news for event in recorder.events)
        for name, recorder in network.received.items()
    }


def pass_hops(network, hops):
    """Let messages pass this many links, one after the other."""
    for _ in range(hops):
        network.advance_ms(network.delay_ms)


def expect_once(network, origin, news):
    counts = heard(network, news)
    assert counts.pop(origin) == 0
    assert set(counts.values()) == {1}, counts


class TestFlooding:
    @pytest.mark.parametrize('size', [2, 3, 20, 64])
    def test_news_reaches_every_node_once_within_log2_n_hops(self, size):
        network = make_network(size)
        news = tell(network, 'n1')
        pass_hops(network, max(1, (size - 1).bit_length()))
        expect_once(network, 'n1', news)

    def test_news_of_a_restarted_origin_is_not_taken_for_old(self):
        network = make_network(8)
        for number in range(5):
            tell(network, 'n3', f'w{number}')
        network.advance_ms(100)
        network.add('n3')
        network.list_nodes()
        record(network)
        news = tell(network, 'n3', 'w9')
        network.advance_ms(100)
        expect_once(network, 'n3', news)

    def test_node_that_most_lists_do_not_show_yet_hears_news(self):
        network = make_network(16)
        network.add('new')
        network.received['new'] = Recorder(network.nodes['new'], UpdateReceived)
        everyone = tuple(network.nodes)
        network.list_nodes(*everyone, readers=['new'])
        network.advance_ms(1000)
        news = tell(network, 'n5')
        pass_hops(network, 6)
        expect_once(network, 'n5', news)
        news = tell(network, 'new', 'w2')
        pass_hops(network, 6)
        expect_once(network, 'new', news)

    def test_news_lost_on_every_link_is_repaired_by_heartbeats(self):
        network = make_network(16)
        network.advance_ms(2000)
        network.is_lost = lambda _, __, message: isinstance(
            message, FloodedUpdate
        )
        news = tell(network, 'n1')
        network.advance_ms(100)
        network.is_lost = lambda *_: False
        network.advance_ms(2500)
        expect_once(network, 'n1', news)

    @pytest.mark.parametrize('seed', range(3))
    def test_a_third_of_all_messages_may_get_lost(self, seed):
        network = make_network(16)
        network.advance_ms(1000)
        random = Random(seed)
        network.is_lost = lambda *_: random.random() < 0.33
        told = [tell(network, 'n1', f'w{number}') for number in range(20)]
        network.advance_ms(3000)
        for news in told:
            expect_once(network, 'n1', news)

    def test_both_sides_of_a_split_hear_what_they_missed(self):
        network = make_network(8)
        names = sorted(network.nodes)
        network.advance_ms(1000)
        network.split(names[:3], names[3:])
        network.advance_ms(10_000)
        news = [tell(network, names[0], 'w1'), tell(network, names[7], 'w2')]
        network.advance_ms(10_000)
        network.heal()
        network.advance_ms(2500)
        expect_once(network, names[0], news[0])
        expect_once(network, names[7], news[1])

    def test_lost_warm_claim_is_not_repaired(self):
        network = make_network(4)
        network.advance_ms(1000)
        network.is_lost = lambda _, __, message: isinstance(
            message, FloodedUpdate
        )
        news = tell(network, 'n1', kind=UpstreamWarm)
        network.advance_ms(100)
        network.is_lost = lambda *_: False
        network.advance_ms(2000)
        assert not any(heard(network, news).values())

    def test_paused_node_hears_news_once_when_it_wakes(self):
        network = make_network(6)
        network.advance_ms(1000)
        network.pause('n2')
        news = tell(network, 'n1')
        network.advance_ms(3000)
        network.resume('n2')
        network.advance_ms(2000)
        expect_once(network, 'n1', news)

    def test_nothing_is_asked_for_when_nothing_is_missed(self):
        network = make_network(8)
        asked = []
        network.is_lost = lambda _, __, message: asked.append(message)
        network.advance_ms(1000)
        tell(network, 'n1')
        network.advance_ms(3000)
        assert not [
            one for one in asked if isinstance(one, MissedUpdatesRequest)
        ]


class FloodingMachine(RuleBasedStateMachine):
    """News among nodes that are cut off, paused and restarted."""

    def __init__(self):
        super().__init__()
        self.network = make_network(5)
        self.told = 0

    @rule(node=st.integers(0, 4))
    def tell(self, node):
        if f'n{node}' not in self.network.paused:
            self.told += 1
            tell(self.network, f'n{node}', f'w{self.told}')

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
    def no_run_of_a_node_hears_news_twice(self):
        for recorder in self.network.received.values():
            told = [event.update for event in recorder.events]
            assert len(told) == len(set(told))


TestFloodingMachine = FloodingMachine.TestCase
TestFloodingMachine.settings = settings(
    max_examples=40,
    stateful_step_count=25,
)

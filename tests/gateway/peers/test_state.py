"""The exchange of learned state between nodes over TCP."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from prometheus_client import CollectorRegistry
from support import Recorder, store_node

from figdoor_gateway.peers import MalformedMessage
from figdoor_gateway.peers._client import MAX_ANSWER_BYTES
from figdoor_gateway.peers._counters import PeerCounters
from figdoor_gateway.peers._item_frames import (
    ItemsAnswer,
    ItemsRequest,
    decode_items_answer,
    encode_items_answer,
    encode_items_request,
)
from figdoor_gateway.peers._items import ItemsServer
from figdoor_gateway.peers._state import StateClient
from figdoor_gateway.peers._state_frames import (
    decode_state,
    encode_state,
    encode_state_request,
    is_state_request,
)
from figdoor_kernel import (
    ObservedCrash,
    StateReceived,
    SuspectedRequest,
    TransferredState,
    UpdateReceived,
    UpstreamDied,
    UpstreamDraining,
)

names = st.text(max_size=40)
ages_ms = st.floats(0, 1e9)
crashes = st.lists(st.builds(ObservedCrash, names, names, ages_ms), max_size=4)
suspects = st.builds(
    SuspectedRequest,
    names,
    st.integers(0, 2**64 - 1),
    crashes.map(tuple),
    st.none() | ages_ms,
)
leaving = st.builds(UpstreamDraining, names, names)
states = st.builds(
    TransferredState,
    st.lists(suspects, max_size=4).map(tuple),
    st.lists(leaving, max_size=4).map(tuple),
    st.booleans(),
)


class TestStateFrames:
    """Guards against state that changes on its way, and against odd frames."""

    @given(states)
    def test_state_is_decoded_as_it_was_encoded(self, state):
        assert decode_state(encode_state(state)) == state

    @given(st.binary(max_size=400))
    def test_random_bytes_are_malformed_or_state(self, frame):
        for decode in (decode_state, is_state_request):
            try:
                decode(frame)
            except MalformedMessage:
                continue

    @pytest.mark.parametrize('age_ms', [float('nan'), float('inf'), -2.0])
    def test_age_that_cannot_be_is_malformed(self, age_ms):
        crash = ObservedCrash('w1', '1', age_ms)
        state = TransferredState((SuspectedRequest('r', 7, (crash,)),))
        with pytest.raises(MalformedMessage):
            decode_state(encode_state(state))

    def test_longest_state_fits_into_an_answer(self):
        crash = ObservedCrash('i-0123456789abcdef', '1765152000000', 1.5)
        suspect = SuspectedRequest('a-route-name', 2**63, (crash,) * 10, 2.5)
        state = TransferredState(
            (suspect,) * 2000, (UpstreamDraining('i-0123', '1'),) * 8192
        )
        assert len(encode_state(state)) < MAX_ANSWER_BYTES / 2


class TestStateExchange:
    """Guards against nodes that do not understand each other."""

    def counters(self):
        return PeerCounters(CollectorRegistry())

    def test_node_learns_what_a_peer_knows(self):
        peer, node = store_node('n1'), store_node('n2')
        update = UpstreamDied('r', 7, 'w1', '1')
        peer.events.publish(UpdateReceived('n3', update, 0))
        server = ItemsServer(peer, None, self.counters())
        received = Recorder(node, StateReceived)
        client = StateClient(node, None, self.counters())
        _, frame = server.make_answer(encode_state_request('n2'))
        client._on_answer('n1', frame)
        (suspect,) = received.events[0].state.suspects
        assert (suspect.fingerprint, len(suspect.crashes)) == (7, 1)

    def test_request_for_items_is_answered_with_items(self):
        server = ItemsServer(store_node('n1'), None, self.counters())
        request = encode_items_request(ItemsRequest('n2', 0))
        _, frame = server.make_answer(request)
        assert decode_items_answer(frame).is_whole

    def test_answer_of_an_earlier_release_says_nothing(self):
        """Such a node takes the request for one for items."""
        answer = ItemsAnswer(9, True, 1, ())
        state = decode_state(encode_items_answer(answer))
        assert state == TransferredState()

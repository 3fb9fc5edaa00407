"""Datagrams and frames: round trips, and invalid bytes from the network."""

from dataclasses import fields
from typing import get_args, get_origin, get_type_hints

import pytest
from hypothesis import given
from hypothesis import strategies as st
from support import node_vm, upstream_vm

from figdoor_decisions.listing._differences import ROWS_PER_PART
from figdoor_gateway.peers import MalformedMessage, decode, encode
from figdoor_gateway.peers._codec import MAX_DATAGRAM_BYTES
from figdoor_gateway.peers._frames import (
    Step,
    SyncAnswer,
    SyncRequest,
    decode_answer,
    decode_request,
    encode_answer,
    encode_request,
)
from figdoor_kernel import (
    FloodedUpdate,
    Heartbeat,
    PeerMessage,
    Position,
    PublishedItem,
    Update,
    Vm,
    VmId,
    VmListDifference,
    VmState,
    position_of,
)
from figdoor_tables import Change

names = st.text(max_size=40)
counts = st.integers(0, 2**64 - 1)
STRATEGIES = {
    str: names,
    int: counts,
    float: st.floats(allow_nan=False, allow_infinity=False),
    bool: st.booleans(),
}
vms = st.builds(
    Vm,
    names,
    names,
    names,
    names,
    st.integers(0, 65_535),
    st.sampled_from(VmState),
)
positions = st.builds(position_of, counts, counts)
published_items = st.builds(
    PublishedItem,
    names,
    positions,
    st.none() | st.binary(max_size=200),
)
# The largest numbers of items in one message.
LISTS = {
    int: st.lists(counts, max_size=96),
    VmId: st.lists(st.text(max_size=20), max_size=3),
    Vm: st.lists(vms, max_size=1),
    PublishedItem: st.lists(published_items, max_size=1),
}


def messages_of(message_type):
    """Return a strategy built from the fields, which covers new types."""
    hints = get_type_hints(message_type)
    parts = []
    for field in fields(message_type):
        hint = hints[field.name]
        if hint == Update:
            parts.append(st.one_of(*map(messages_of, get_args(Update))))
            continue
        if hint is Position:
            parts.append(positions)
            continue
        if get_origin(hint) is tuple:
            parts.append(LISTS[get_args(hint)[0]].map(tuple))
            continue
        parts.append(STRATEGIES[getattr(hint, '__supertype__', hint)])
    return st.builds(message_type, *parts)


any_message = st.one_of(*map(messages_of, get_args(PeerMessage)))


class TestDatagrams:
    """Guards against lost fields and against crashes on invalid datagrams."""

    @pytest.mark.parametrize('message_type', get_args(PeerMessage))
    def test_message_of_each_type_survives_the_round_trip(self, message_type):
        @given(names, messages_of(message_type))
        def check(sender, message):
            datagram = encode(sender, message)
            assert len(datagram) <= MAX_DATAGRAM_BYTES
            assert decode(datagram) == (sender, message)

        check()

    def test_heartbeat_takes_at_most_40_bytes(self):
        heartbeat = Heartbeat(123456.5, 17_000)
        assert len(encode('entry-123', heartbeat)) <= 40

    def test_difference_of_eight_rows_fits_into_a_datagram(self):
        """Guards against oversized differences, which senders drop.

        Every node would then read the whole list from the platform.
        """
        rows = tuple(
            upstream_vm(f'work-orders-{number:05}-7f3a', 'deep-south-2b')
            for number in range(ROWS_PER_PART)
        )
        update = VmListDifference(2**64 - 1, 2**64 - 2, 2**64 - 3, (), rows)
        datagram = encode(
            'entry-123', FloodedUpdate('entry-123', 2**64 - 4, update)
        )
        assert len(datagram) <= MAX_DATAGRAM_BYTES

    @given(st.binary(max_size=MAX_DATAGRAM_BYTES + 100))
    def test_random_bytes_are_malformed_or_a_message(self, datagram):
        self.expect_message_or_malformed(datagram)

    @given(any_message, st.data())
    def test_damaged_message_is_malformed_or_a_message(self, message, data):
        damaged = bytearray(encode('n1', message))
        for _ in range(data.draw(st.integers(1, 4))):
            offset = data.draw(st.integers(0, len(damaged) - 1))
            damaged[offset] = data.draw(st.integers(0, 255))
        length = data.draw(st.integers(0, len(damaged)))
        self.expect_message_or_malformed(bytes(damaged[:length]))
        self.expect_message_or_malformed(bytes(damaged))

    def expect_message_or_malformed(self, datagram):
        try:
            sender, message = decode(datagram)
        except MalformedMessage:
            return
        assert isinstance(sender, str)
        assert isinstance(message, get_args(PeerMessage))

    @pytest.mark.parametrize(
        'message',
        [
            Heartbeat(float('nan'), 1),
            Heartbeat(1, 1, tuple(range(129))),
        ],
    )
    def test_message_out_of_bounds_is_malformed(self, message):
        with pytest.raises(MalformedMessage):
            decode(encode('n1', message))

    def test_oversized_datagram_is_malformed(self):
        with pytest.raises(MalformedMessage):
            decode(encode('n' * 2000, Heartbeat(1, 1)))


class TestFrames:
    """Guards against lost fields and against crashes on invalid frames."""

    def test_request_survives_the_round_trip(self):
        request = SyncRequest('n1', 7, wants_vm_list=True)
        assert decode_request(encode_request(request)) == request

    def test_answer_survives_the_round_trip(self):
        answer = SyncAnswer(
            9,
            2**64 - 1,
            (Step((Change(1, 2, ('é,1', '')),), ()),),
            is_snapshot=True,
            routes='r\n',
            pools='p',
            vms=(node_vm('n1'), upstream_vm('w1', 'z2')),
        )
        assert decode_answer(encode_answer(answer)) == answer

    @given(st.binary(max_size=300))
    def test_random_bytes_raise_no_other_error(self, frame):
        for read in (decode_request, decode_answer):
            try:
                read(frame)
            except MalformedMessage:
                pass

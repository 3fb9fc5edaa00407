"""Answers to peers that ask for published items."""

import pytest
from prometheus_client import CollectorRegistry
from support import ManualClock, store_node

from figdoor_gateway.peers._contents import (
    MAX_CONTENT_BYTES,
    MIN_LARGE_BYTES,
    LargeVersions,
    compress,
    expand,
)
from figdoor_gateway.peers._counters import PeerCounters
from figdoor_gateway.peers._frames import MAX_REQUEST_BYTES
from figdoor_gateway.peers._item_frames import (
    ItemsAnswer,
    ItemsRequest,
    decode_items_answer,
    decode_items_request,
    encode_items_answer,
    encode_items_request,
)
from figdoor_gateway.peers._items import ItemsClient, ItemsServer
from figdoor_gateway.peers._schema import MalformedMessage
from figdoor_kernel import (
    Extension,
    ItemsChanged,
    ItemsRead,
    PublishedItem,
    position_of,
)


class TestItemsAnswer:
    """Guards against items that change on their way to a peer."""

    @pytest.mark.parametrize('keys', [(), ('servers/a', 'servers/b')])
    def test_answer_is_decoded_as_it_was_encoded(self, keys):
        items = (
            PublishedItem('servers/a', 7, b'\x00x'),
            PublishedItem('servers/c', 8, None),
        )
        answer = ItemsAnswer(9, False, 12.5, items, frozenset(keys))
        assert decode_items_answer(encode_items_answer(answer)) == answer

    def test_positions_of_two_eras_are_decoded_as_encoded(self):
        """Guards against a lost change that a peer takes for a newer one."""
        item = PublishedItem('servers/a', position_of(3, 7), b'x')
        answer = ItemsAnswer(position_of(2, 9), False, 1, (item,))
        assert decode_items_answer(encode_items_answer(answer)) == answer
        request = ItemsRequest('n1', position_of(2, 9), (position_of(2, 4),))
        assert decode_items_request(encode_items_request(request)) == request

    def test_too_long_key_is_malformed(self):
        """Guards against memory that a faulty peer fills."""
        answer = ItemsAnswer(9, False, 0, (), frozenset(('k' * 201,)))
        with pytest.raises(MalformedMessage):
            decode_items_answer(encode_items_answer(answer))


def routes(count, changed=-1):
    """Return a configuration of that many routes, one of them changed."""
    rows = (
        b'{"Name": "r-%06d", "Service": "%s"}'
        % (number, b'new' if number == changed else b'old')
        for number in range(count)
    )
    return b'{"Version": 1, "Paths": [%s]}' % b', '.join(rows)


class TestLargeContents:
    """Guards against a slow link full of a configuration that changed once.

    The reader of a fleet sends each change to dozens of nodes.
    """

    def versions(self, *items):
        node = store_node('n1', ManualClock())
        versions = LargeVersions(node)
        node.events.publish(ItemsChanged(items, 0))
        return versions

    @pytest.mark.parametrize(
        'new',
        [
            routes(3000, changed=7),
            routes(3000)[:90_000] + routes(3000)[95_000:],
            routes(3500),
            b'',
            b'}{' * 2000,
            bytes(range(256)) * 20,
        ],
    )
    def test_difference_leads_to_the_same_content(self, new):
        old = PublishedItem('op/config', 5, routes(3000))
        item = PublishedItem('op/config', 6, new)
        shortened, base = self.versions(old).shorten(item, frozenset((5,)))
        assert base == 5
        assert expand(shortened, base, {5: old.content}) == new

    def test_changed_route_takes_a_part_of_a_datagram(self):
        old = PublishedItem('op/config', 5, routes(3000))
        item = PublishedItem('op/config', 6, routes(3000, changed=7))
        shortened, _ = self.versions(old).shorten(item, frozenset((5,)))
        assert len(shortened) < 500

    def test_new_routes_take_an_eighth_of_their_size(self):
        old = PublishedItem('op/config', 5, routes(10))
        item = PublishedItem('op/config', 6, routes(3000))
        shortened, _ = self.versions(old).shorten(item, frozenset((5,)))
        assert len(shortened) < len(item.content) / 8

    def test_unknown_version_leads_to_the_whole_content(self):
        item = PublishedItem('op/config', 6, routes(3000))
        shortened, base = self.versions().shorten(item, frozenset((5,)))
        assert base == 0
        assert expand(shortened, base, {}) == item.content

    def test_difference_from_another_content_is_malformed(self):
        """Guards against a configuration made of parts of two."""
        old = PublishedItem('op/config', 5, routes(3000))
        item = PublishedItem('op/config', 6, routes(3000, changed=7))
        shortened, _ = self.versions(old).shorten(item, frozenset((5,)))
        other = routes(3000, changed=2999)
        for bases in ({}, {5: other}, {5: old.content[:9]}):
            with pytest.raises(MalformedMessage):
                expand(shortened, 5, bases)

    @pytest.mark.parametrize(
        ('size', 'is_taken'),
        [
            (MAX_CONTENT_BYTES - 1, True),
            (MAX_CONTENT_BYTES, True),
            (MAX_CONTENT_BYTES + 1, False),
        ],
    )
    def test_content_is_expanded_up_to_the_limit_of_the_store(
        self, size, is_taken
    ):
        """Guards against memory that a few bytes of a peer fill."""
        shortened = compress(bytes(size))
        if is_taken:
            assert len(expand(shortened, 0, {})) == size
            return
        with pytest.raises(MalformedMessage):
            expand(shortened, 0, {})

    @pytest.mark.parametrize('cut', [0, 1, 20])
    def test_incomplete_content_is_malformed(self, cut):
        with pytest.raises(MalformedMessage):
            expand(compress(routes(100))[:cut], 0, {})


class TestItemsExchange:
    """Guards against a removal that a peer does not learn by asking."""

    def node(self, name, *items, as_of, is_whole=False):
        node = store_node(name, ManualClock())
        read = ItemsRead(items, as_of, is_whole, True, 0)
        node.part(Extension.SERVICE, 'published-items')
        node.events.publish(read)
        return node

    def test_peer_drops_what_the_answering_node_never_saw_removed(self):
        kept = PublishedItem('servers/a', 5, b'x')
        left = PublishedItem('servers/b', 6, b'x')
        added = PublishedItem('servers/c', 8, b'x')
        asking = self.node('n1', kept, left, as_of=6)
        started = self.node('n2', kept, added, as_of=9, is_whole=True)
        server = ItemsServer(started, None, PeerCounters(CollectorRegistry()))
        request = encode_items_request(ItemsRequest('n1', 6))
        _, frame = server.make_answer(request)
        client = ItemsClient(asking, None, PeerCounters(CollectorRegistry()))
        client._on_answer('n2', {}, frame)
        items = asking.part(Extension.SERVICE, 'published-items')
        assert set(items.items) == {'servers/a', 'servers/c'}
        assert items.as_of == 9

    @pytest.mark.parametrize(
        ('size', 'is_shortened'),
        [
            (MIN_LARGE_BYTES - 1, False),
            (MIN_LARGE_BYTES, True),
            (MIN_LARGE_BYTES + 1, True),
        ],
    )
    def test_large_item_is_sent_in_a_shorter_form(self, size, is_shortened):
        item = PublishedItem('op/config', 8, b'x' * size)
        asking = self.node('n1', as_of=6)
        server = self.server(self.node('n2', item, as_of=9))
        client = ItemsClient(asking, None, PeerCounters(CollectorRegistry()))
        request = encode_items_request(ItemsRequest('n1', 6, ()))
        _, frame = server.make_answer(request)
        assert (len(frame) < size / 2) is is_shortened
        client._on_answer('n2', {}, frame)
        items = asking.part(Extension.SERVICE, 'published-items')
        assert items.items['op/config'] == item

    def test_node_of_an_earlier_release_gets_the_content_itself(self):
        """Guards against unreadable items while a fleet is replaced."""
        item = PublishedItem('op/config', 8, b'x' * 9000)
        server = self.server(self.node('n2', item, as_of=9))
        request = encode_items_request(ItemsRequest('n1', 6))
        _, frame = server.make_answer(request)
        assert decode_items_answer(frame).items == (item,)
        assert len(frame) > 9000

    def test_node_asks_for_the_content_after_a_useless_difference(self):
        """Guards against a node that asks for the same difference forever."""
        item = PublishedItem('op/config', 5, routes(3000))
        client = ItemsClient(
            self.node('n1', item, as_of=6),
            None,
            PeerCounters(CollectorRegistry()),
        )
        assert set(client._bases()) == {5}
        with pytest.raises(MalformedMessage):
            client._on_answer('n2', client._bases(), b'?')
        assert not client._bases()
        answer = encode_items_answer(ItemsAnswer(7, False, 0, ()))
        client._on_answer('n2', {}, answer)
        assert set(client._bases()) == {5}

    def test_request_names_a_bounded_number_of_large_items(self):
        """Guards against requests that are too long for their limit."""
        items = [
            PublishedItem(f'servers/{n}', 2**52 + n, bytes(5000))
            for n in range(400)
        ]
        asking = self.node('n1', *items, as_of=2**52 + 400)
        client = ItemsClient(asking, None, PeerCounters(CollectorRegistry()))
        request = ItemsRequest('n1', 6, tuple(client._bases()))
        assert len(encode_items_request(request)) <= MAX_REQUEST_BYTES

    def server(self, node):
        return ItemsServer(node, None, PeerCounters(CollectorRegistry()))

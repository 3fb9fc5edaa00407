"""Answers to peers that ask for published items."""

import pytest
from prometheus_client import CollectorRegistry
from support import ManualClock, store_node

from figdoor_gateway.peers._counters import PeerCounters
from figdoor_gateway.peers._item_frames import (
    ItemsAnswer,
    ItemsRequest,
    decode_items_answer,
    encode_items_answer,
    encode_items_request,
)
from figdoor_gateway.peers._items import ItemsClient, ItemsServer
from figdoor_gateway.peers._schema import MalformedMessage
from figdoor_kernel import Extension, ItemsRead, PublishedItem


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

    def test_too_long_key_is_malformed(self):
        """Guards against memory that a faulty peer fills."""
        answer = ItemsAnswer(9, False, 0, (), frozenset(('k' * 201,)))
        with pytest.raises(MalformedMessage):
            decode_items_answer(encode_items_answer(answer))


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
        client._on_answer('n2', frame)
        items = asking.part(Extension.SERVICE, 'published-items')
        assert set(items.items) == {'servers/a', 'servers/c'}
        assert items.as_of == 9

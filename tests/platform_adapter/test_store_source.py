"""Reads of the store: stale pages, odd items, and what becomes of them."""

import json
from base64 import b64encode
from types import SimpleNamespace

from support import ManualClock, Recorder, store_node
from test_entries import ENTRY
from twisted.internet.defer import fail, succeed

from figdoor_gateway.platform import PlatformError
from figdoor_kernel import Extension, ItemRejected, ItemsRead, Tick
from figdoor_platform import StoreSource


def row(key, revision, content=None):
    value = json.dumps(ENTRY).encode() if content is None else content
    text = b64encode(value).decode()
    return {'Key': key, 'Revision': revision, 'Value': text}


def removed(key, revision):
    return {'Key': key, 'Revision': revision, 'Removed': True}


class FakeStore:
    """Returns prepared responses in order, and records the queries."""

    def __init__(self, *responses):
        self.responses = list(responses)
        self.queries = []

    def get(self, path, timeout_ms, **query):
        self.queries.append(query)
        if not self.responses:
            return fail(PlatformError('down', 503))
        response = self.responses.pop(0)
        if isinstance(response, int):
            return fail(PlatformError('no value', response))
        return succeed(response)


class Rig:
    """A node that reads a prepared store."""

    def __init__(self, *responses):
        self.clock = ManualClock()
        self.node = store_node(clock=self.clock)
        self.node.settings = SimpleNamespace(platform_url='http://127.0.0.1:1')
        self.reads = Recorder(self.node, ItemsRead)
        self.rejected = Recorder(self.node, ItemRejected)
        self.source = StoreSource(self.node)
        self.store = FakeStore(*responses)
        self.source._client = self.store
        self.source.start()

    def tick(self, after_ms=300):
        self.clock.advance_ms(after_ms)
        self.node.events.publish(Tick(self.clock.now_ms()))

    @property
    def keys(self):
        items = self.node.part(Extension.SERVICE, 'published-items')
        return set(items.items)


def page(*rows, as_of, more=False):
    return {'items': list(rows), 'AsOf': as_of, 'MorePages': more}


def events(*rows, as_of):
    return {'events': list(rows), 'AsOf': as_of}


class TestStaleRead:
    """Guards against old items in use after a start."""

    def test_withdrawn_item_of_a_stale_page_is_never_in_use(self):
        rig = Rig(
            page(row('servers/a', 3), row('servers/b', 4), as_of=4),
            events(removed('servers/a', 9), as_of=9),
        )
        assert rig.keys == {'servers/b'}
        assert [read.as_of for read in rig.reads.events] == [9]
        assert rig.store.queries[0]['AllowStale'] == '1'

    def test_watch_begins_at_the_oldest_page(self):
        """Guards against a change between two pages that no read returns."""
        rig = Rig(
            page(row('servers/a', 3), as_of=8, more=True),
            page(row('servers/c', 2), as_of=5),
            events(row('servers/b', 7), as_of=9),
        )
        assert rig.store.queries[1]['after'] == 'servers/a'
        assert rig.store.queries[2]['after'] == '5'
        assert rig.keys == {'servers/a', 'servers/b', 'servers/c'}

    def test_nothing_is_published_before_the_watch_has_returned(self):
        rig = Rig(page(row('servers/a', 3), as_of=4), 503)
        assert not rig.reads.events

    def test_lost_history_leads_to_an_exact_read(self):
        rig = Rig(
            page(row('servers/a', 3), as_of=4),
            410,
            page(row('servers/b', 12), as_of=12),
        )
        rig.tick()
        assert 'AllowStale' not in rig.store.queries[2]
        assert rig.keys == {'servers/b'}


class TestOddItems:
    """Guards against one odd item that ends the following of the store."""

    def test_items_beside_an_odd_one_are_read(self):
        rig = Rig(
            page(
                {'Key': ['x'], 'Revision': 1},
                row('servers/a', 3),
                {'Key': 'servers/z', 'Revision': 1e400, 'Value': ''},
                as_of=4,
            ),
            events(7, row('servers/b', 5), as_of=5),
        )
        assert rig.keys == {'servers/a', 'servers/b'}
        assert len(rig.rejected.events) == 3

    def test_value_that_is_not_base64_withdraws_the_worker(self):
        rig = Rig(
            page(row('servers/a', 3), as_of=4),
            events(as_of=4),
            events({'Key': 'servers/a', 'Revision': 6, 'Value': '%'}, as_of=6),
        )
        rig.tick()
        items = rig.node.part(Extension.SERVICE, 'published-items').items
        assert items['servers/a'].content == b''

    def test_odd_response_is_followed_by_the_next_read(self):
        rig = Rig(
            page(as_of=4),
            events(as_of=4),
            ['?'],
            {'events': 7, 'AsOf': 5},
            events(row('servers/a', 5), as_of=5),
        )
        for _ in range(4):
            rig.tick(1000)
        assert rig.keys == {'servers/a'}

"""Reads of the store: stale pages, odd items, and what becomes of them."""

import json
from base64 import b64encode
from types import SimpleNamespace

import pytest
from support import ManualClock, Recorder, store_node
from test_entries import ENTRY
from twisted.internet.defer import Deferred, fail, succeed
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone
from twisted.web.http_headers import Headers

from figdoor_gateway.platform import (
    JsonResponse,
    PlatformClient,
    PlatformError,
    ResponseTooLongError,
)
from figdoor_gateway.platform._client import MAX_RESPONSE_BYTES
from figdoor_kernel import (
    Extension,
    ItemRejected,
    ItemsRead,
    Tick,
    position_of,
)
from figdoor_platform import StoreSource
from figdoor_platform._configuration import CONFIG_KEY
from figdoor_platform._store_source import MAX_ITEMS_BYTES, MAX_WATCH_BYTES

TOO_LONG = 'response that is longer than the limit'


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
        # The headers of all responses.
        self.headers = {}
        self.queries = []
        self.limits = []

    def get(self, path, timeout_ms, limits=None, **query):
        self.queries.append(query)
        self.limits.append(limits)
        if not self.responses:
            return fail(PlatformError('down', 503))
        response = self.responses.pop(0)
        if isinstance(response, Deferred):
            return response.addCallback(self.respond)
        if response is TOO_LONG:
            return fail(ResponseTooLongError('response is too long'))
        if isinstance(response, int):
            return fail(PlatformError('no value', response, self.headers))
        return succeed(self.respond(response))

    def respond(self, content):
        return JsonResponse(content, self.headers)


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
    def store_age_ms(self):
        items = self.node.part(Extension.SERVICE, 'published-items')
        return items.store_age_ms(self.clock.now_ms())

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

    @pytest.mark.parametrize(
        'keys', [['servers/a'], ['servers/b', 'servers/a']]
    )
    def test_pages_that_do_not_go_on_are_a_failure(self, keys):
        """Guards against a read that never ends and keeps all of its pages."""
        pages = [page(row(key, 3), as_of=8, more=True) for key in keys]
        rig = Rig(*(pages * 20))
        assert len(rig.store.queries) <= len(pages) + 1
        assert not rig.reads.events

    def test_items_without_end_are_a_failure(self):
        content = bytes(MAX_RESPONSE_BYTES // 2)
        rig = Rig(
            *(
                page(
                    row(f'servers/{number:03}', 3, content), as_of=8, more=True
                )
                for number in range(100)
            )
        )
        assert len(rig.store.queries) <= 1 + MAX_ITEMS_BYTES // len(content)
        assert not rig.reads.events

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


class TestRestored:
    """Guards against nodes that keep what the store has lost in a drill.

    The store comes back from an older copy and gives revisions out again, so
    a revision alone does not show which of two changes is the newer one.
    """

    def rig(self, *responses):
        """Return a node in era 1 that has read up to revision 9."""
        rig = Rig()
        rig.store.headers = {'store-era': ['1']}
        rig.store.responses = [
            page(row('servers/a', 3), row('servers/b', 9), as_of=9),
            events(as_of=9),
        ]
        rig.tick(1000)
        rig.store.headers = {'store-era': ['2']}
        rig.store.responses = list(responses)
        return rig

    def test_events_of_a_later_era_lead_to_an_exact_read(self):
        """The watched revision was given out again for another change."""
        rig = self.rig(
            events(row('servers/c', 10), as_of=10),
            page(row('servers/c', 10), row('servers/d', 8), as_of=10),
        )
        rig.tick()
        rig.tick()
        assert rig.keys == {'servers/c', 'servers/d'}
        assert 'AllowStale' not in rig.store.queries[-1]
        assert rig.reads.events[-1].as_of == position_of(2, 10)

    @pytest.mark.parametrize('status', [410, 429, 503])
    def test_error_shows_a_later_era(self, status):
        rig = self.rig(status, page(row('servers/a', 3), as_of=5))
        rig.tick()
        rig.tick()
        assert rig.keys == {'servers/a'}

    def test_watch_goes_on_in_the_later_era(self):
        rig = self.rig(
            410,
            page(row('servers/a', 3), as_of=5),
            events(row('servers/b', 6), as_of=6),
        )
        for _ in range(3):
            rig.tick()
        assert rig.store.queries[-1]['after'] == '5'
        assert rig.keys == {'servers/a', 'servers/b'}

    def test_pages_of_two_eras_are_read_again(self):
        rig = self.rig(410)
        rig.tick()
        restored = Deferred()
        rig.store.responses = [
            page(row('servers/a', 3), as_of=5, more=True),
            restored,
            page(row('servers/x', 4), as_of=4),
        ]
        rig.tick()
        rig.store.headers = {'store-era': ['3']}
        restored.callback(page(row('servers/b', 9), as_of=5))
        assert rig.keys == {'servers/a', 'servers/b'}
        rig.tick(1000)
        assert rig.keys == {'servers/x'}

    @pytest.mark.parametrize('era', [['0'], ['1']])
    def test_response_of_an_earlier_era_is_not_believed(self, era):
        """A frozen node or a slow link may deliver it late."""
        rig = self.rig(410, page(row('servers/a', 3), as_of=5))
        rig.tick()
        rig.tick()
        rig.store.headers = {'store-era': era}
        rig.store.responses = [events(row('servers/b', 9), as_of=9)]
        rig.tick()
        assert rig.keys == {'servers/a'}

    @pytest.mark.parametrize(
        'values', [[], ['2', '2'], ['?'], ['-1'], [''], ['9' * 17]]
    )
    def test_odd_era_does_not_stop_the_following(self, values):
        rig = self.rig(events(row('servers/c', 10), as_of=10))
        rig.store.headers = {'store-era': values}
        rig.tick()
        assert rig.keys == {'servers/a', 'servers/b', 'servers/c'}

    def test_failures_after_a_restoration_are_spaced(self):
        """Guards against a read on each tick while the store fails."""
        rig = self.rig(*([503] * 100))
        before = len(rig.store.queries)
        for _ in range(100):
            rig.tick(10)
        assert len(rig.store.queries) - before <= 12


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


class TestLargeConfiguration:
    """Guards against a node that follows nothing while a large item changes.

    Each version of the configuration since the watched revision is part of
    the response to a watch, and the same watch again returned still more.
    """

    def rig(self, *responses):
        rig = Rig(
            page(row(CONFIG_KEY, 3, b'old'), row('servers/a', 4), as_of=4),
            events(as_of=4),
            *responses,
        )
        rig.tick()
        return rig

    def content(self, rig):
        items = rig.node.part(Extension.SERVICE, 'published-items').items
        return items[CONFIG_KEY].content

    def test_newest_version_is_read_in_place_of_a_watch_that_is_too_long(self):
        rig = self.rig(
            TOO_LONG,
            page(row(CONFIG_KEY, 30, b'new'), as_of=30),
            events(removed('servers/a', 31), row('servers/b', 32), as_of=33),
            events(row('op/evacuate/z', 33), as_of=33),
            events(as_of=34),
        )
        rig.tick(0)
        assert self.content(rig) == b'new'
        assert rig.keys == {CONFIG_KEY, 'servers/b', 'op/evacuate/z'}
        rig.tick()
        assert rig.store.queries[-1]['after'] == '30'
        assert rig.reads.events[-1].as_of == 34

    def test_others_are_followed_while_the_configuration_is_read(self):
        """Guards against a leaving worker behind seconds of transfer."""
        configuration, waiting = Deferred(), Deferred()
        rig = self.rig(
            TOO_LONG,
            configuration,
            events(removed('servers/a', 31), as_of=31),
            events(as_of=31),
            events(row('op/evacuate/z', 40), as_of=40),
            waiting,
            *(events(as_of=41) for _ in range(3)),
        )
        rig.tick(50)
        assert rig.keys == {CONFIG_KEY, 'op/evacuate/z'}
        assert self.content(rig) == b'old'
        assert all(read.as_of == 4 for read in rig.reads.events)
        assert rig.store_age_ms == 50
        configuration.callback(page(row(CONFIG_KEY, 30, b'new'), as_of=35))
        waiting.callback(events(as_of=40))
        assert rig.reads.events[-1].as_of == 35
        assert self.content(rig) == b'new'

    def test_read_names_all_changes_up_to_its_revision(self):
        """Guards against a change that a peer skips.

        A push of the changes ahead of the configuration may be lost, and the
        push that follows it says that it has every change.
        """
        rig = self.rig(
            TOO_LONG,
            page(row(CONFIG_KEY, 30, b'new'), as_of=30),
            events(removed('servers/a', 27), row('servers/b', 28), as_of=31),
            events(row('op/evacuate/z', 29), as_of=31),
        )
        rig.tick(0)
        last = rig.reads.events[-1]
        assert last.as_of == 30
        assert not last.is_partial
        assert {item.position for item in last.items} == {27, 28, 29, 30}

    def test_second_read_that_is_too_long_leads_to_a_read_of_all(self):
        rig = self.rig(
            TOO_LONG,
            page(row(CONFIG_KEY, 30, b'new'), as_of=30),
            TOO_LONG,
            page(row(CONFIG_KEY, 31, b'all'), as_of=31),
            events(as_of=31),
        )
        rig.tick(0)
        rig.tick(0)
        assert self.content(rig) == b'all'
        assert rig.keys == {CONFIG_KEY}

    def test_watch_after_stale_pages_that_is_too_long_needs_an_exact_read(self):
        rig = Rig(
            page(row(CONFIG_KEY, 3, b'old'), as_of=4),
            TOO_LONG,
            page(row(CONFIG_KEY, 31, b'new'), as_of=31),
        )
        rig.tick(0)
        assert self.content(rig) == b'new'
        assert 'AllowStale' not in rig.store.queries[2]

    def test_configuration_that_was_removed_is_not_kept(self):
        rig = self.rig(
            TOO_LONG,
            page(as_of=30),
            events(as_of=30),
            events(as_of=30),
        )
        rig.tick(0)
        assert rig.keys == {'servers/a'}

    def test_failed_read_of_the_configuration_is_tried_again(self):
        rig = self.rig(TOO_LONG, 503)
        rig.tick(0)
        rig.store.responses = [
            page(row(CONFIG_KEY, 30, b'new'), as_of=30),
            events(as_of=30),
            events(as_of=30),
        ]
        rig.tick(1000)
        assert self.content(rig) == b'new'

    def test_watch_has_a_limit_and_a_time_for_its_body(self):
        rig = self.rig(events(as_of=4))
        limits = rig.store.limits[-1]
        assert limits.max_bytes == MAX_WATCH_BYTES
        assert limits.transfer_ms >= 1000 * 8 * 1.4 / 5


class SizedHttp:
    """Returns responses of exact sizes, without sockets."""

    def __init__(self):
        self.responses = []
        self.paths = []

    def get(self, url, params, headers, unbuffered):
        self.paths.append(url.rpartition('/')[2])
        if not self.responses:
            return Deferred()
        fields, size = self.responses.pop(0)
        body = json.dumps(fields).encode().ljust(size)

        def deliver(receiver):
            receiver.makeConnection(SimpleNamespace(loseConnection=bool))
            receiver.dataReceived(body)
            receiver.connectionLost(Failure(ResponseDone()))

        return succeed(
            SimpleNamespace(
                code=200, headers=Headers({}), deliverBody=deliver, length='?'
            )
        )


class ClientWithoutHeaders:
    """Returns values as ``JsonClient`` does, from a fake HTTP client."""

    def __init__(self, http):
        self.client = PlatformClient('http://127.0.0.1:1')
        self.client._http = http

    def get(self, *arguments, **query):
        reading = self.client.get(*arguments, **query)
        return reading.addCallback(JsonResponse, {})


class TestLimits:
    """Guards against a limit that stops what fits, or lets more pass."""

    def rig(self, *responses):
        rig = Rig()
        rig.source.stop()
        rig.http = SizedHttp()
        rig.source._client = ClientWithoutHeaders(rig.http)
        rig.http.responses = list(responses)
        rig.clock.advance_ms(2000)
        rig.source.start()
        return rig

    def finish(self, rig):
        """End the read in progress, whose timers would outlive the test."""
        rig.source.stop()

    @pytest.mark.parametrize(
        ('excess', 'next_path'),
        [(-1, 'kv-watch'), (0, 'kv-watch'), (1, 'kv-range')],
    )
    def test_watch_is_taken_up_to_its_limit(self, excess, next_path):
        rig = self.rig(
            (page(row('servers/a', 3), as_of=4), 0),
            (events(as_of=4), 0),
            (events(row('servers/b', 5), as_of=5), MAX_WATCH_BYTES + excess),
        )
        rig.tick()
        rig.tick()
        assert rig.http.paths[3] == next_path
        assert ('servers/b' in rig.keys) is (next_path == 'kv-watch')
        self.finish(rig)

    @pytest.mark.parametrize(
        ('excess', 'is_read'), [(-1, True), (0, True), (1, False)]
    )
    def test_page_is_taken_up_to_its_limit(self, excess, is_read):
        rig = self.rig(
            (page(row('a', 3), as_of=4), MAX_RESPONSE_BYTES + excess),
            (events(as_of=4), 0),
        )
        assert (rig.keys == {'a'}) is is_read
        self.finish(rig)

    @pytest.mark.parametrize(
        ('excess', 'is_read'), [(-1, True), (0, True), (1, False)]
    )
    def test_newest_configuration_is_taken_up_to_its_limit(
        self, excess, is_read
    ):
        rig = self.rig(
            (page(row(CONFIG_KEY, 3, b'old'), as_of=4), 0),
            (events(as_of=4), 0),
            (events(as_of=5), MAX_WATCH_BYTES + 1),
            (
                page(row(CONFIG_KEY, 9, b'new'), as_of=9),
                MAX_RESPONSE_BYTES + excess,
            ),
            (events(as_of=9), 0),
            (events(as_of=9), 0),
        )
        rig.tick()
        rig.tick(0)
        items = rig.node.part(Extension.SERVICE, 'published-items').items
        assert items[CONFIG_KEY].content == (b'new' if is_read else b'old')
        self.finish(rig)

"""What the sources make of the platform's answers."""

from types import SimpleNamespace

import pytest
from support import POOLS, ROUTES, Recorder, make_node, publish_tables, tables
from twisted.internet.defer import Deferred, fail, succeed
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone
from twisted.web.http_headers import Headers

from figdoor_gateway.platform import HttpConfigSource, HttpVmListSource
from figdoor_gateway.platform._client import (
    MAX_ANSWER_BYTES,
    MethodRefusedError,
    PlatformClient,
)
from figdoor_kernel import (
    ConfigReadFailed,
    ConfigReadSucceeded,
    Extension,
    TablesOffered,
    Tick,
    VmListChanged,
)


class FakeClient:
    """Gives the answers it was told to, and keeps the queries."""

    def __init__(self):
        self.answers = []
        self.queries = []
        self.paths = []
        self.etags = {}

    def get(self, path, timeout_ms, **query):
        self.paths.append(path)
        self.queries.append(query)
        return self.answers.pop(0)

    def check(self, path, timeout_ms):
        self.paths.append(f'HEAD {path}')
        return self.answers.pop(0)


def start_source(kind):
    node = make_node()
    node.settings = SimpleNamespace(platform_url='http://127.0.0.1:1')
    source = kind(node)
    source._client = FakeClient()
    source.start()
    return node, source


def tick(node, after_ms=0):
    node.clock.advance_ms(after_ms)
    node.events.publish(Tick(node.clock.now_ms()))


class TestConfigSource:
    def setup_method(self):
        self.node, self.source = start_source(HttpConfigSource)
        self.answers = self.source._client.answers
        self.offered = Recorder(self.node, TablesOffered)
        self.confirmed = Recorder(self.node, ConfigReadSucceeded)
        self.failed = Recorder(self.node, ConfigReadFailed)

    def test_value_is_offered_and_confirms_the_start_of_the_read(self):
        waiting = Deferred()
        self.answers.append(waiting)
        tick(self.node)
        started_ms = self.node.clock.now_ms()
        tick(self.node, 50)
        waiting.callback({'revision': 3, 'routes': ROUTES, 'pools': POOLS})
        assert self.offered.events[0].revision == 3
        assert self.confirmed.events == [ConfigReadSucceeded(started_ms, 3)]

    def test_failed_read_confirms_nothing_and_is_repeated(self):
        self.answers += [fail(OSError('refused')), succeed(None)]
        tick(self.node)
        assert not self.confirmed.events
        assert len(self.failed.events) == 1
        for _ in range(60):
            tick(self.node, 100)
        assert len(self.confirmed.events) == 1

    def test_read_asks_for_what_is_newer_than_the_tables_in_force(self):
        publish_tables(self.node, tables(8))
        self.node.clock.advance_ms(3000)
        self.answers.append(succeed(None))
        tick(self.node)
        assert self.source._client.queries[0]['after'] == '8'

    def test_stopped_source_reports_no_failure(self):
        self.answers.append(Deferred())
        tick(self.node)
        self.source.stop()
        assert not self.failed.events


class TestVmListSource:
    def test_list_that_cannot_be_read_leaves_the_last_one(self):
        node, source = start_source(HttpVmListSource)
        changed = Recorder(node, VmListChanged)
        source._client.answers += [
            succeed({'vms': [{'id': 'n1'}]}),
            fail(OSError('refused')),
            succeed({'vms': []}),
        ]
        for _ in range(60):
            if source._client.answers:
                tick(node, 100)
        assert len(changed.events) == 1

    def test_unchanged_list_is_published_again(self):
        node, source = start_source(HttpVmListSource)
        changed = Recorder(node, VmListChanged)
        source._client.answers += [succeed({'vms': []}), succeed(None)]
        for _ in range(60):
            if source._client.answers:
                tick(node, 100)
        first, second = changed.events
        assert first.vm_list is second.vm_list
        assert first.now_ms < second.now_ms


class TestVmListChecks:
    """Long lists are asked for their mark only."""

    def setup_method(self):
        self.node, self.source = start_source(HttpVmListSource)
        self.client = self.source._client
        self.changed = Recorder(self.node, VmListChanged)
        rows = [
            {
                'id': f'w{number}',
                'service': 'work',
                'availability_zone': 'z1',
                'host': '127.0.0.1',
                'port': 1,
                'state': 'live',
            }
            for number in range(600)
        ]
        self.client.answers.append(succeed({'vms': rows}))
        tick(self.node)
        self.lists = self.node.part(Extension.SERVICE, 'vm-lists')
        self.lists.take_whole('"a"', self.node.fleet.vm_list, 0)
        self.changed.events.clear()

    def run(self, *answers):
        self.client.answers += answers
        for _ in range(60):
            if self.client.answers:
                tick(self.node, 100)

    def test_unchanged_mark_publishes_the_same_list_again(self):
        self.run(succeed(None))
        (event,) = self.changed.events
        assert event.vm_list is self.node.fleet.vm_list
        assert self.client.paths == ['/v1/vms', 'HEAD /v1/vms']

    def test_new_mark_without_differences_is_read_whole(self):
        self.run(succeed('"b"'), succeed({'vms': []}))
        (event,) = self.changed.events
        assert not event.vm_list.vms

    def test_platform_without_checks_is_read_whole_from_then_on(self):
        refused = fail(MethodRefusedError('405'))
        self.run(refused, succeed(None), succeed(None))
        assert self.client.paths[1:] == ['HEAD /v1/vms', *2 * ['/v1/vms']]
        assert len(self.changed.events) == 2


class TestPlatformClient:
    def setup_method(self):
        self.client = PlatformClient('http://127.0.0.1:1')
        self.answers = []
        self.headers = []
        self.client._http = SimpleNamespace(get=self.get, head=self.get)

    def get(self, url, headers, params=None, unbuffered=False):
        self.headers.append(headers)
        return succeed(self.answers.pop(0))

    def answer(self, code, body, **headers):
        def deliver(receiver):
            receiver.dataReceived(body)
            receiver.connectionLost(Failure(ResponseDone()))

        raw = Headers({name: [text] for name, text in headers.items()})
        answer = SimpleNamespace(code=code, headers=raw, deliverBody=deliver)
        self.answers.append(answer)

    def test_unchanged_value_is_not_asked_for_again(self):
        self.answer(200, b'{"vms": []}', etag='"a"')
        self.answer(304, b'')
        found = [self.client.get('/v1/vms', 1000) for _ in range(2)]
        assert [one.result for one in found] == [{'vms': []}, None]
        assert self.headers == [{}, {'if-none-match': '"a"'}]

    def test_check_names_the_known_mark_and_learns_none(self):
        self.client.etags['/v1/vms'] = '"a"'
        self.answer(200, b'', etag='"b"')
        self.answer(304, b'')
        found = [self.client.check('/v1/vms', 1000) for _ in range(2)]
        assert [one.result for one in found] == ['"b"', None]
        assert self.headers == 2 * [{'if-none-match': '"a"'}]

    @pytest.mark.parametrize(
        ('code', 'body'),
        [(500, b''), (200, b'{"vms'), (200, bytes(MAX_ANSWER_BYTES + 1))],
    )
    def test_answer_without_a_value_is_a_failure(self, code, body):
        self.answer(code, body, etag='"a"')
        found = self.client.get('/v1/vms', 1000)
        failures = []
        found.addErrback(failures.append)
        assert len(failures) == 1
        self.answer(500, b'')
        self.client.get('/v1/vms', 1000).addErrback(failures.append)
        assert self.headers[-1] == {}

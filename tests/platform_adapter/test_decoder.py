"""Published items become tables and upstreams.

Guards against a single malformed item that discards valid tables or workers.
"""

import json
import math
from itertools import permutations

import pytest
from support import ManualClock, Recorder, store_node
from test_entries import ENTRY

from figdoor_kernel import (
    Call,
    Dispatcher,
    Extension,
    Fingerprint,
    ItemRejected,
    ItemsRead,
    PublishedItem,
    RequestSize,
    ResponseSize,
    TablesRefused,
)
from figdoor_platform import PublishedDecoder, _configuration
from figdoor_platform._configuration import read_configuration

SERVICE = {
    'Name': 'huvo',
    'HealthPath': '/healthz',
    'MaxConnections': 240,
    'Protocol': 'h1',
    'TlsEnabled': False,
    'Warmup': '3s',
    'WarmupPerS': 6.3,
}
ROUTE = {
    'Name': 'r-1',
    'Prefix': '/lohu/',
    'Type': 'idempotent',
    'Timeout': '2000ms',
    'TargetLatency': '600ms',
    'Priority': 2,
    'Service': 'huvo',
    'MaxAttempts': 2,
}
MOVED = {'Service': 'wuno'}
TENANT = {
    'Name': 'huka270',
    'ApiKeys': ['492cqf75rjvz48wuakn2', 'ftimaj3nr26tta828m82'],
    'Priority': 1,
    'RatePerS': 64,
    'Burst': 32.5,
}


def configuration(*routes, **changes):
    fields = {
        'Version': 7,
        'Services': [SERVICE, {**SERVICE, 'Name': 'wuno'}],
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 1024,
            'HeaderTimeout': '3s',
            'IdleTimeout': '15000ms',
        },
        'Hosts': [{'Host': 'Ficu.example', 'Paths': list(routes) or [ROUTE]}],
    }
    return json.dumps({**fields, **changes}).encode()


class Rig:
    """A node with the decoder, fed with published items."""

    def __init__(self):
        self.clock = ManualClock()
        self.node = store_node(clock=self.clock)
        PublishedDecoder(self.node)

    def publish(self, key, revision, content):
        item = PublishedItem(key, revision, content)
        now_ms = self.clock.now_ms()
        self.node.events.publish(
            ItemsRead((item,), revision, False, True, now_ms)
        )

    def publish_ahead(self, key, revision, content):
        """Publish an item before changes of lower revisions."""
        item = PublishedItem(key, revision, content)
        as_of = self.node.part(Extension.SERVICE, 'published-items').as_of
        now_ms = self.clock.now_ms()
        self.node.events.publish(
            ItemsRead((item,), as_of, False, True, now_ms, is_partial=True)
        )

    @property
    def tables(self):
        return self.node.tables

    def listed(self):
        return {
            upstream.upstream_id for upstream in self.node.fleet.upstreams()
        }


def without_start(**changes):
    fields = {**ENTRY, **changes}
    fields.pop('born')
    return json.dumps(fields).encode()


class TestConfiguration:
    def test_fields_are_translated(self):
        rig = Rig()
        rig.publish('op/config', 3, configuration())
        route = rig.tables.routes[0]
        assert (route.authority, route.path_prefix) == (
            'ficu.example',
            '/lohu/',
        )
        assert (route.deadline_ms, route.objective_ms) == (2000, 600)
        assert (route.priority, route.max_attempts) == (2, 2)
        assert rig.tables.pools['huvo'].cold_per_s == 6.3
        assert rig.tables.caller_limits.idle_timeout_ms == 15_000

    def test_type_decides_whether_a_route_is_idempotent(self):
        """Guards against retrying an order because its method is GET."""
        rig = Rig()
        order = {**ROUTE, 'Type': 'non_idempotent', 'Prefix': '/once/'}
        rig.publish('op/config', 3, configuration(ROUTE, order))
        dispatcher = Dispatcher(rig.node)

        def routed(path):
            call = Call('GET', 'ficu.example', path, Fingerprint(1))
            return dispatcher.open(call, 0, print).routed

        assert routed('/lohu/x').idempotent
        assert not routed('/once/x').idempotent

    @pytest.mark.parametrize(
        ('kind', 'idempotent', 'size'),
        [
            ('download', True, ResponseSize.LARGE),
            ('upload', False, ResponseSize.SMALL),
            ('non_idempotent', False, ResponseSize.SMALL),
            ('idempotent', True, ResponseSize.SMALL),
            # A type of a newer platform must not take the whole configuration
            # out of force, and its requests must not run twice.
            ('often', False, ResponseSize.SMALL),
        ],
    )
    def test_every_type_of_route_is_taken(self, kind, idempotent, size):
        """Guards against a fleet that serves nothing for one unknown word."""
        rig = Rig()
        rig.publish('op/config', 3, configuration({**ROUTE, 'Type': kind}))
        route = rig.tables.routes[0]
        assert bool(route.idempotent) is idempotent
        assert route.response_size is size

    @pytest.mark.parametrize(
        ('kind', 'size'),
        [
            ('upload', RequestSize.LARGE),
            ('non_idempotent', RequestSize.SMALL),
            ('download', RequestSize.SMALL),
        ],
    )
    def test_uploads_have_large_bodies_and_run_once(self, kind, size):
        """Guards against bodies that cross zones, or uploads that run twice."""
        rig = Rig()
        rig.publish('op/config', 3, configuration({**ROUTE, 'Type': kind}))
        route = rig.tables.routes[0]
        assert route.request_size is size
        assert bool(route.idempotent) is (kind == 'download')

    def test_traffic_split_keeps_its_weights(self):
        rig = Rig()
        split = [
            {'Service': 'huvo', 'Weight': 90},
            {'Service': 'wuno', 'Weight': 10},
        ]
        path = {**ROUTE, 'TrafficSplit': split}
        path.pop('Service')
        rig.publish('op/config', 3, configuration(path))
        assert rig.tables.routes[0].split == (('huvo', 90), ('wuno', 10))

    @pytest.mark.parametrize(
        'content',
        [
            b'{',
            configuration(Services='none'),
            configuration({**ROUTE, 'Service': 'nobody'}),
            configuration({**ROUTE, 'Type': 7}),
            configuration({**ROUTE, 'Prefix': 'x'}),
            configuration({**ROUTE, 'MaxAttempts': 10**400}),
            configuration(Services=[{**SERVICE, 'WarmupPerS': math.inf}]),
            configuration({**ROUTE, 'Timeout': 2000}),
        ],
    )
    def test_malformed_configuration_leaves_the_last_in_force(self, content):
        rig = Rig()
        rig.publish('op/config', 3, configuration())
        rig.publish('op/config', 4, content)
        assert rig.tables.revision == 3


class TestLargeConfiguration:
    """Guards against a loop that stalls while thousands of routes come again.

    A node may have less than half a core, and a configuration may change
    several times a second.
    """

    def rig(self, monkeypatch):
        rig = Rig()
        rig.decoded = []

        def decode(authority, fields):
            rig.decoded.append(fields['Name'])
            return read_route(authority, fields)

        read_route = _configuration._read_route
        monkeypatch.setattr(_configuration, '_read_route', decode)
        rig.publish('op/config', 3, configuration(*self.routes()))
        assert rig.decoded == ['r-0', 'r-1', 'r-2']
        rig.decoded.clear()
        return rig

    def routes(self, **changes):
        return [
            {**ROUTE, 'Name': f'r-{n}', **(changes if n == 1 else {})}
            for n in range(3)
        ]

    @pytest.mark.parametrize(
        'changes',
        [
            {'Service': 'wuno'},
            {'Service': 'wuno', 'Type': 'non_idempotent'},
            {'TrafficSplit': [{'Service': 'wuno', 'Weight': 1}]},
            {'Priority': 3},
        ],
    )
    def test_only_changed_routes_are_decoded(self, monkeypatch, changes):
        rig = self.rig(monkeypatch)
        content = configuration(*self.routes(**changes))
        rig.publish('op/config', 4, content)
        assert rig.decoded == ['r-1']
        assert rig.tables == read_configuration(content, 4, frozenset())
        rig.publish('op/config', 5, configuration(*self.routes()))
        rig.publish('op/config', 6, content)
        assert rig.tables == read_configuration(content, 6, frozenset())

    def test_route_of_another_host_is_another_route(self, monkeypatch):
        rig = self.rig(monkeypatch)
        hosts = [{'Host': 'other.example', 'Paths': self.routes()}]
        rig.publish('op/config', 4, configuration(Hosts=hosts))
        assert {r.authority for r in rig.tables.routes} == {'other.example'}

    @pytest.mark.parametrize('value', [True, 1.0, '1'])
    def test_equal_value_of_another_type_is_not_the_same(
        self, monkeypatch, value
    ):
        """Guards against a malformed configuration that is half in force."""
        rig = Rig()
        one = {**ROUTE, 'Priority': 1}
        rig.publish('op/config', 3, configuration(one))
        rig.publish('op/config', 4, configuration({**one, 'Priority': value}))
        assert rig.tables.revision == 3

    def test_evacuation_decodes_no_route(self, monkeypatch):
        rig = self.rig(monkeypatch)
        rig.publish('op/evacuate/delta', 4, b'{}')
        assert rig.tables.evacuated == {'delta'}
        assert rig.tables.revision == 3
        assert not rig.decoded

    def test_configuration_after_a_refused_one_is_decoded(self, monkeypatch):
        rig = self.rig(monkeypatch)
        rig.publish('op/config', 4, configuration(*self.routes(Priority='x')))
        rig.publish('op/evacuate/delta', 5, b'{}')
        assert rig.tables.revision == 3
        rig.publish('op/config', 6, configuration(*self.routes(Priority=5)))
        assert [r.priority for r in rig.tables.routes] == [2, 5, 2]
        assert rig.tables.evacuated == {'delta'}


class TestEvacuation:
    @pytest.mark.parametrize('content', [b'{}', b'', b'\xff', b'[' * 5000])
    def test_zone_is_evacuated_until_its_key_is_removed(self, content):
        """Guards against a zone that stays without traffic after its return.

        The key is the whole request, so no value can prevent it.
        """
        rig = Rig()
        rig.publish('op/config', 3, configuration())
        rig.publish('op/evacuate/delta', 4, content)
        assert rig.tables.evacuated == {'delta'}
        rig.publish('op/evacuate/delta', 5, None)
        assert not rig.tables.evacuated

    @pytest.mark.parametrize('content', [b'{', None])
    def test_zone_is_evacuated_while_the_last_configuration_stays(
        self, content
    ):
        """Guards against a refused configuration that blocks evacuations."""
        rig = Rig()
        refused = Recorder(rig.node, TablesRefused)
        rig.publish('op/config', 3, configuration())
        rig.publish('op/config', 4, content)
        rig.publish('op/evacuate/delta', 5, b'{}')
        assert (rig.tables.revision, rig.tables.evacuated) == (3, {'delta'})
        rig.publish('op/evacuate/delta', 6, None)
        assert not rig.tables.evacuated
        assert len(refused.events) == (content is not None)


class TestOrderOfArrival:
    """Guards against a change that another one overtakes and discards.

    A large configuration travels for longer than an evacuation, and a lost
    push makes any item come later than those after it.
    """

    @pytest.mark.parametrize(
        'order', list(permutations(('op/config', 'delta', 'echo')))
    )
    def test_every_operator_item_comes_into_force(self, order):
        rig = Rig()
        rig.publish('op/config', 3, configuration())
        changes = {
            'op/config': ('op/config', 4, configuration({**ROUTE, **MOVED})),
            'delta': ('op/evacuate/delta', 5, b'{}'),
            'echo': ('op/evacuate/echo', 6, b'{}'),
        }
        for name in order:
            rig.publish_ahead(*changes[name])
        assert rig.tables.routes[0].pool == 'wuno'
        assert rig.tables.evacuated == {'delta', 'echo'}

    def test_return_of_a_zone_is_not_lost_behind_a_configuration(self):
        rig = Rig()
        rig.publish('op/config', 3, configuration())
        rig.publish('op/evacuate/delta', 4, b'{}')
        rig.publish_ahead('op/config', 6, configuration({**ROUTE, **MOVED}))
        rig.publish_ahead('op/evacuate/delta', 5, None)
        assert not rig.tables.evacuated


class TestEntries:
    def test_malformed_entry_leaves_the_others(self):
        rig = Rig()
        rig.publish('servers/i-1', 3, json.dumps(ENTRY).encode())
        rig.publish('servers/i-2', 4, b'?')
        assert [
            upstream.upstream_id for upstream in rig.node.fleet.upstreams()
        ] == ['i-1']

    def test_entry_overwritten_by_a_malformed_one_removes_the_worker(self):
        rig = Rig()
        rig.publish('servers/i-1', 3, json.dumps(ENTRY).encode())
        rig.publish('servers/i-1', 4, b'?')
        assert not rig.node.fleet.upstreams()

    def test_entry_without_its_start_among_others_names_no_worker(self):
        """Guards against requests to a worker that another writer named."""
        rig = Rig()
        for name in ('i-1', 'i-2', 'i-3'):
            rig.publish(f'servers/{name}', 3, json.dumps(ENTRY).encode())
        rejected = Recorder(rig.node, ItemRejected)
        rig.publish('servers/i-2', 4, without_start(Service='wuno'))
        assert rig.listed() == {'i-1', 'i-3'}
        assert [event.key for event in rejected.events] == ['servers/i-2']
        rig.publish('servers/i-2', 5, json.dumps(ENTRY).encode())
        assert rig.listed() == {'i-1', 'i-2', 'i-3'}

    def test_workers_that_do_not_state_their_start_are_used(self):
        """Guards against no worker at all where entries lack this field.

        One entry that has it must not remove the others.
        """
        rig = Rig()
        for name in ('i-1', 'i-2', 'i-3'):
            rig.publish(f'servers/{name}', 3, without_start())
        rig.publish('servers/i-3', 4, json.dumps(ENTRY).encode())
        assert rig.listed() == {'i-1', 'i-2', 'i-3'}

    @pytest.mark.parametrize(
        'changes', [{'Service': 'wuno'}, {'Zone': 'piney'}]
    )
    def test_other_service_or_zone_is_another_record(self, changes):
        """Guards against a record with the service or zone of before.

        An attempt to the former record, which waits for its connection, must
        not be sent; rules compare the record with the listed one.
        """
        rig = Rig()
        rig.publish('servers/i-1', 3, json.dumps(ENTRY).encode())
        before = rig.node.fleet.find('i-1')
        entry = {**ENTRY, **changes}
        rig.publish('servers/i-1', 4, json.dumps(entry).encode())
        after = rig.node.fleet.find('i-1')
        assert after is not before
        assert (after.service, after.availability_zone) == (
            entry['Service'],
            entry['Zone'],
        )

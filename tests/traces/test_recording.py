"""Recorded traces: replay, size limit, and privacy of the callers."""

import json
from dataclasses import replace
from functools import partial

import pytest
from support import (
    POOLS,
    ROUTES,
    ManualClock,
    confirm_config,
    io_free_registry,
    make_call,
    make_node,
    node_vm,
    publish_vm_list,
    store_node,
    upstream_vm,
)

from figdoor_kernel import (
    AttemptResult,
    AttemptState,
    AvailabilityZoneName,
    Dispatcher,
    Extension,
    Heartbeat,
    HeartbeatAck,
    ItemsRead,
    Node,
    NodeId,
    ObservedCrash,
    Options,
    PeerMessageReceived,
    PeerSendRequested,
    PublishedItem,
    Revision,
    Send,
    StateReceived,
    SuspectedRequest,
    TablesOffered,
    Tick,
    TransferredState,
    digest_of_key,
)
from figdoor_platform import PublishedDecoder
from figdoor_standins.deployment import Deployment
from figdoor_standins.processes import http
from figdoor_traces import Recorder, TraceRandom, read_trace, replay
from figdoor_traces import _codec as trace_codec

SECRET = 'hunter2'
# After this time a node of a new fleet acts as owner.
OWNERSHIP_DELAY_MS = 1500


class TestRecorder:
    """Guards against recordings that do not replay or that leak requests.

    A replay differs if it makes other random choices than the gateway did.
    """

    def record(self, max_bytes=1_000_000, calls=20):
        node = make_node(cold_starts=True, vm_list_lag_ms=0)
        written = []
        Recorder(node, written.append, max_bytes)
        publish_vm_list(
            node,
            upstream_vm('n1', service='figdoor'),
            *(upstream_vm(f'w{number}') for number in range(4)),
        )
        offer = TablesOffered(Revision(1), ROUTES, POOLS, 0)
        node.events.publish(offer)
        node.clock.advance_ms(OWNERSHIP_DELAY_MS)
        confirm_config(node)
        dispatcher = Dispatcher(node)
        for number in range(calls):
            self.run_call(dispatcher, number)
            node.clock.advance_ms(10)
        return ''.join(written)

    def run_call(self, dispatcher, number):
        """Run a call to its end; every third attempt is lost."""
        now_ms = dispatcher.node.clock.now_ms()
        call = make_call(
            path=f'/{SECRET}',
            tenant=SECRET,
            fingerprint=number + 123_456_789,
        )
        exchange = dispatcher.open(call, now_ms, lambda: None)
        while isinstance(exchange.next_step(now_ms), Send):
            exchange.confirm_send(now_ms)
            state = AttemptState.LOST
            if (number + exchange.attempts_made) % 3:
                exchange.begin_response()
                state = AttemptState.ANSWERED
            exchange.end(AttemptResult(state), now_ms)

    def test_recording_with_random_choices_replays(self):
        trace = read_trace('t', self.record()).unwrap()
        result = replay(trace)
        assert not result.errors
        assert not result.mismatches
        assert result.checked > 100

    def test_changed_outcome_in_a_recording_is_reported(self):
        text = self.record().replace('"answered","ref', '"not-run","ref', 1)
        assert replay(read_trace('t', text).unwrap()).mismatches

    def test_attempt_on_an_upstream_that_is_not_allowed_is_reported(self):
        lines = self.record(calls=1).splitlines()
        for index, line in enumerate(lines):
            record = json.loads(line)
            if record.get('expect', {}).get('step') == 'send':
                record['expect']['upstream'] = 'w9'
                lines[index] = json.dumps(record)
        text = '\n'.join([*lines, ''])
        mismatches = replay(read_trace('t', text).unwrap()).mismatches
        assert any('w9' in str(mismatch) for mismatch in mismatches)

    def test_recording_contains_no_path_tenant_or_fingerprint(self):
        text = self.record()
        assert SECRET not in text
        assert '1234567' not in text

    @pytest.mark.parametrize('max_bytes', [1000, 5000])
    def test_recording_stops_within_its_limit_and_still_replays(
        self,
        max_bytes,
    ):
        text = self.record(max_bytes)
        assert len(text) <= max_bytes
        assert text.endswith('"do":"stopped"}\n')
        assert not replay(read_trace('t', text).unwrap()).mismatches


class TestTraceRandom:
    """Guards against draws of parts with I/O that alter a replay."""

    def test_draws_after_an_event_do_not_depend_on_draws_before_it(self):
        recorded, replayed = TraceRandom(5), TraceRandom(5)
        replayed.random()
        assert recorded.random() != replayed.random()
        recorded.reseed()
        replayed.reseed()
        first = recorded.random()
        assert first == replayed.random()
        recorded.reseed()
        assert recorded.random() != first


class TestRandomTiming:
    """Guards against replays with other heartbeat times than recorded.

    Only the acknowledgements of a neighbour renew the lease of the node, so a
    replay that sends a heartbeat at another time refuses other calls.
    """

    def record(self, origin):
        clock = ManualClock()
        node = Node(
            NodeId('n1'),
            AvailabilityZoneName('z1'),
            clock,
            TraceRandom(origin),
            io_free_registry(),
            Options(chooser='power-of-two', vm_list_lag_ms=0),
        )
        node.parts(Extension.SERVICE)
        written = []
        Recorder(node, written.append, 1_000_000)
        node.events.subscribe(
            PeerSendRequested, partial(self.acknowledge, node)
        )
        dispatcher = Dispatcher(node)
        offer = TablesOffered(Revision(1), ROUTES, POOLS, 0)
        workers = [upstream_vm(f'w{number}') for number in range(8)]
        publish_vm_list(node, node_vm('n1'), node_vm('n2'), *workers)
        node.events.publish(offer)
        for _ in range(100):
            clock.advance_ms(50)
            node.events.publish(Tick(clock.now_ms()))
            # Stands for a draw of a part with I/O, which a replay lacks.
            node.random.random()
            exchange = dispatcher.open(make_call(), clock.now_ms(), str)
            exchange.next_step(clock.now_ms())
            exchange.abandon(clock.now_ms())
        return ''.join(written)

    def acknowledge(self, node, event):
        if isinstance(event.message, Heartbeat):
            ack = HeartbeatAck(event.message.token_ms, Revision(1))
            now_ms = node.clock.now_ms()
            node.clock.reactor.callLater(
                0.001,
                lambda: node.events.publish(
                    PeerMessageReceived(event.target, ack, now_ms + 1),
                ),
            )

    @pytest.mark.parametrize('origin', range(3))
    def test_random_heartbeat_times_are_repeated(self, origin):
        text = self.record(origin)
        result = replay(read_trace('t', text).unwrap())
        assert not result.errors
        assert not result.mismatches
        assert '"step":"send"' in text

    def test_replay_with_another_seed_is_reported(self):
        text = self.record(1).replace('"seed":1,', '"seed":2,')
        assert replay(read_trace('t', text).unwrap()).mismatches


class TestTenants:
    """Guards against replays in which calls have another tenant than recorded.

    The trace has neither keys nor their digests, so a replay needs stand-ins.
    """

    KEYS = (b'first', b'second', b'third')

    def record(self):
        node = make_node(cold_starts=True, vm_list_lag_ms=0)
        written = []
        Recorder(node, written.append, 1_000_000)
        publish_vm_list(
            node, upstream_vm('n1', service='figdoor'), upstream_vm('w1')
        )
        digests = [digest_of_key(key).hex() for key in self.KEYS]
        tenants = f'tenant,keys\nhuka,{digests[0]} {digests[1]}\nwiki,'
        offer = TablesOffered(Revision(1), ROUTES, POOLS, 0, tenants)
        node.events.publish(offer)
        node.clock.advance_ms(OWNERSHIP_DELAY_MS)
        confirm_config(node)
        dispatcher = Dispatcher(node)
        for number, key in enumerate(self.KEYS * 2):
            if number == 2:
                moved = f'tenant,keys\nhuka,{digests[0]}\nwiki,{digests[1]}'
                offer = TablesOffered(Revision(2), ROUTES, POOLS, 0, moved)
                node.events.publish(offer)
            now_ms = node.clock.now_ms()
            call = make_call(key_digest=digest_of_key(key))
            exchange = dispatcher.open(call, now_ms, lambda: None)
            exchange.next_step(now_ms)
            exchange.abandon(now_ms)
        return ''.join(written), digests

    def test_calls_have_their_tenants_again(self):
        text, _ = self.record()
        trace = read_trace('t', text).unwrap()
        assert sum(line.action.value == 'call' for line in trace.lines) == 4
        result = replay(trace)
        assert not result.errors
        assert not result.mismatches
        other = text.replace('"key":1', '"key":9')
        assert replay(read_trace('t', other).unwrap()).mismatches

    def test_recording_has_no_digests(self):
        """Guards against keys that are found by trying out words."""
        text, digests = self.record()
        for digest in digests:
            assert digest not in text
        assert 'huka' in text


@pytest.mark.processes
class TestTraceFile:
    """Guards against traces of a real gateway that do not replay."""

    def test_gateway_records_a_trace_that_replays(self, tmp_path):
        path = tmp_path / 'entry.jsonl'
        with Deployment() as deployment:
            deployment.platform.publish(ROUTES, POOLS)
            for number in range(3):
                deployment.add_upstream(f'w{number}', 'work', 'z1')
            deployment.add_gateway('n2', 'z2')
            gateway = deployment.add_gateway('n1', 'z1', trace_file=path)
            deployment.wait_ready()
            deployment.wait_answering('/')
            headers = {'X-Tenant': SECRET, 'Authorization': SECRET}
            for number in range(50):
                http(gateway.port, f'/{SECRET}/{number}', headers=headers)
            assert gateway.stop() == 0
        text = path.read_text(encoding='ascii')
        result = replay(read_trace('t', text).unwrap())
        assert SECRET not in text
        assert not result.errors
        assert not result.mismatches
        assert result.checked >= 50 * 6

    def test_gateway_exits_if_the_trace_file_cannot_be_created(self, tmp_path):
        with Deployment() as deployment:
            path = tmp_path / 'no' / 'file'
            gateway = deployment.add_gateway('n1', 'z1', trace_file=path)
            assert gateway.child.wait(20) == 2


class TestKeys:
    """Guards against keys of callers in a trace of a store deployment."""

    def record(self, key):
        node = store_node()
        PublishedDecoder(node)
        written = []
        Recorder(node, written.append, 1_000_000)
        content = json.dumps(
            {
                'Version': 1,
                'Services': [],
                'Hosts': [],
                'Limits': {
                    'MaxHeaderBytes': 1,
                    'MaxBodyBytes': 1,
                    'HeaderTimeout': '1s',
                    'IdleTimeout': '1s',
                },
                'Tenants': [{'Name': 'huka', 'ApiKeys': [key]}],
            }
        )
        item = PublishedItem('op/config', Revision(3), content.encode())
        read = ItemsRead((item,), Revision(3), False, True, 0.0)
        node.events.publish(read)
        assert node.tables.tenants
        return ''.join(written)

    def test_items_are_recorded_without_their_content(self):
        """Guards against an item whose bytes stop the node that records it."""
        lines = self.record(SECRET).splitlines()
        (line,) = [line for line in lines if '"ItemsRead"' in line]
        (item,) = json.loads(line)['items']
        assert (item['key'], item['revision']) == ('op/config', 3)

    @pytest.mark.parametrize('key', [SECRET, f'{SECRET}"\\'])
    def test_trace_has_neither_keys_nor_digests(self, key):
        text = self.record(key)
        assert SECRET not in text
        assert digest_of_key(key.encode()).hex() not in text


class TestTransferredState:
    """Guards against a replay that knows other crashes than the node did."""

    def test_state_of_a_peer_is_recorded_without_fingerprints(self):
        written = []
        node = store_node()
        Recorder(node, written.append, 1_000_000)
        crash = ObservedCrash('w1', '1', 10.0)
        suspect = SuspectedRequest('r', 987_654_321, (crash,))
        state = TransferredState((suspect, replace(suspect, route='s')))
        node.events.publish(StateReceived('n2', state, 0.0))
        fields = json.loads(written[-1])
        numbered = trace_codec.decode(TransferredState, fields['state'])
        assert '987654321' not in written[-1]
        assert numbered == TransferredState(
            tuple(replace(row, fingerprint=1) for row in state.suspects)
        )

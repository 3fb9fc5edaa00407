"""Table synchronisation and checks of senders, without sockets."""

from types import SimpleNamespace

import pytest
import xxhash
from prometheus_client import CollectorRegistry
from support import (
    POOLS,
    ROUTES,
    Recorder,
    make_node,
    node_vm,
    publish_tables,
    publish_vm_list,
    tables,
)
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from figdoor_gateway import loop
from figdoor_gateway.peers import _client, encode
from figdoor_gateway.peers._addresses import Addresses
from figdoor_gateway.peers._client import _RequestConnection
from figdoor_gateway.peers._codec import MAX_DATAGRAM_BYTES
from figdoor_gateway.peers._counters import PeerCounters
from figdoor_gateway.peers._datagrams import Datagrams
from figdoor_gateway.peers._frames import (
    MAX_ANSWER_BYTES,
    MAX_REQUEST_BYTES,
    SyncRequest,
    decode_answer,
    encode_answer,
    encode_request,
)
from figdoor_gateway.peers._history import (
    MAX_STEPS,
    History,
    StepsMismatchError,
    checksum_of,
    texts_from,
)
from figdoor_gateway.peers._sync_server import (
    MAX_CONNECTIONS,
    MAX_UNSENT_BYTES,
    PeerServer,
    SyncServer,
)
from figdoor_kernel import (
    FloodedUpdate,
    Heartbeat,
    PeerMessageReceived,
    PeerSendRequested,
    UpstreamWarm,
)
from figdoor_tables import read_tables

PEER = ('127.0.0.1', 1)
UNLISTED = ('127.0.0.1', 2)


def pools_at(revision):
    return POOLS.replace('250', str(250 + revision))


def dropped(collectors, reason):
    labels = {'reason': reason}
    return collectors.get_sample_value('figdoor_peer_dropped_total', labels)


class TestDatagrams:
    """Guards against messages that are malformed or from unlisted senders."""

    def setup_method(self):
        self.node = make_node('n0')
        self.collectors = CollectorRegistry()
        self.unlisted_addresses = []
        self.datagrams = Datagrams(
            self.node,
            Addresses(self.node),
            PeerCounters(self.collectors),
            self.unlisted_addresses.append,
        )
        self.sent = []
        self.datagrams.transport = SimpleNamespace(
            write=lambda datagram, address: self.sent.append(address),
        )
        self.received = Recorder(self.node, PeerMessageReceived)

    def receive(self, sender, address):
        datagram = encode(sender, Heartbeat(1, 1))
        self.datagrams.datagramReceived(datagram, address)

    def test_message_of_a_listed_node_is_published(self):
        publish_vm_list(self.node, node_vm('n0'), node_vm('n1'))
        self.receive('n1', PEER)
        assert [event.sender for event in self.received.events] == ['n1']

    @pytest.mark.parametrize(
        ('sender', 'address'),
        [('n1', UNLISTED), ('other', PEER)],
    )
    def test_message_of_an_unlisted_sender_is_dropped(self, sender, address):
        publish_vm_list(self.node, node_vm('n0'), node_vm('n1'))
        self.receive(sender, address)
        assert not self.received.events
        assert not self.unlisted_addresses
        assert dropped(self.collectors, 'unlisted-sender') == 1

    def test_heartbeat_before_the_first_vm_list_reports_its_address(self):
        self.receive('n1', PEER)
        assert not self.received.events
        assert self.unlisted_addresses == [PEER]

    @pytest.mark.parametrize(
        'datagram',
        [b'', b'rubbish', bytes(MAX_DATAGRAM_BYTES + 1)],
    )
    def test_malformed_datagram_is_counted_and_dropped(self, datagram):
        self.datagrams.datagramReceived(datagram, PEER)
        assert dropped(self.collectors, 'malformed') == 1

    def test_message_goes_to_the_listed_address(self):
        publish_vm_list(self.node, node_vm('n0'), node_vm('n1'))
        request = PeerSendRequested('n1', Heartbeat(1, 1))
        self.sent.clear()
        self.node.events.publish(request)
        assert self.sent == [PEER]

    def test_message_too_long_for_a_datagram_is_not_sent(self):
        publish_vm_list(self.node, node_vm('n0'), node_vm('n1'))
        message = FloodedUpdate('n0', 1, UpstreamWarm('w' * 2000, 'a'))
        self.sent.clear()
        self.node.events.publish(PeerSendRequested('n1', message))
        assert not self.sent
        assert dropped(self.collectors, 'oversized') == 1


class TestHistory:
    """Guards against peers that end up with other tables than published.

    Steps apply to one revision only. A peer with any other one needs a
    snapshot, and the checksum detects steps applied to the wrong texts.
    """

    def setup_method(self):
        self.node = make_node('n0')
        self.history = History(self.node)

    def accept(self, *revisions):
        for revision in revisions:
            accepted = tables(revision, pools=pools_at(revision))
            publish_tables(self.node, accepted)

    def test_steps_produce_the_published_texts(self):
        self.accept(3, 4, 7)
        answer = self.history.answer(SyncRequest('n1', 3))
        assert not answer.is_snapshot
        assert len(answer.steps) == 2
        base = tables(3, pools=pools_at(3))
        assert texts_from(answer, base) == (ROUTES, pools_at(7), '')

    @pytest.mark.parametrize('after', [0, 2, 5])
    def test_unknown_revision_gets_a_snapshot(self, after):
        self.accept(3, 4, 7)
        answer = self.history.answer(SyncRequest('n1', after))
        assert texts_from(answer, None) == (ROUTES, pools_at(7), '')

    def test_revision_older_than_the_history_gets_a_snapshot(self):
        self.accept(*range(1, MAX_STEPS + 3))
        assert self.history.answer(SyncRequest('n1', 1)).is_snapshot
        assert not self.history.answer(SyncRequest('n1', 2)).is_snapshot

    @pytest.mark.parametrize('after', [7, 9])
    def test_up_to_date_peer_gets_neither_steps_nor_snapshot(self, after):
        self.accept(7)
        answer = self.history.answer(SyncRequest('n1', after))
        assert (answer.revision, answer.is_snapshot) == (after, False)

    @pytest.mark.parametrize(
        'base', [None, tables(3, pools=f'{POOLS}\n# other')]
    )
    def test_steps_on_other_tables_are_rejected(self, base):
        self.accept(3, 4)
        answer = self.history.answer(SyncRequest('n1', 3))
        with pytest.raises(StepsMismatchError):
            texts_from(answer, base)


class TestTenantsTable:
    """Guards against peers that serve without keys, or with withdrawn ones."""

    KEYED = f'tenant,keys\nhuka,{"0" * 32}\nwiki,{"1" * 32}'
    WITHDRAWN = f'tenant,keys\nhuka,\nwiki,{"1" * 32}'

    def answer(self, *texts, after):
        """Return what a peer gets over the wire after these versions."""
        node = make_node('n0')
        history = History(node)
        for revision, text in enumerate(texts, start=1):
            accepted = read_tables(revision, ROUTES, POOLS, text).unwrap()
            publish_tables(node, accepted)
        answer = history.answer(SyncRequest('n1', after))
        return decode_answer(encode_answer(answer))

    @pytest.mark.parametrize(
        ('old', 'new'),
        [('', KEYED), (KEYED, WITHDRAWN), (KEYED, ''), ('', '')],
    )
    def test_peer_gets_the_published_text(self, old, new):
        base = read_tables(1, ROUTES, POOLS, old).unwrap()
        answer = self.answer(old, new, after=1)
        assert not answer.is_snapshot
        assert texts_from(answer, base) == (ROUTES, POOLS, new)
        snapshot = self.answer(old, new, after=0)
        assert snapshot.is_snapshot
        assert texts_from(snapshot, None) == (ROUTES, POOLS, new)

    def test_steps_on_another_tenants_table_are_rejected(self):
        answer = self.answer(self.KEYED, self.WITHDRAWN, after=1)
        base = read_tables(1, ROUTES, POOLS, '').unwrap()
        with pytest.raises(StepsMismatchError):
            texts_from(answer, base)

    def test_checksum_without_the_table_is_that_of_earlier_releases(self):
        """Guards against a fleet that splits while a release is rolled."""
        digest = xxhash.xxh64(b'a\0b').intdigest()
        assert checksum_of('a', 'b') == digest
        assert checksum_of('a', 'b', 'c') != digest


class TestSyncServer:
    """Guards against peers that use up connections or send invalid bytes."""

    def setup_method(self):
        self.node = make_node('n0')
        self.collectors = CollectorRegistry()
        self.server = SyncServer(
            self.node,
            Addresses(self.node),
            PeerCounters(self.collectors),
        )
        publish_vm_list(self.node, node_vm('n0'), node_vm('n1'))
        publish_tables(self.node, tables(3))

    def connect(self, host=PEER[0]):
        connection = self.server.buildProtocol(None)
        transport = StringTransport(
            peerAddress=SimpleNamespace(host=host, port=1),
        )
        connection.makeConnection(transport)
        return connection, transport

    def close(self, connection):
        connection.connectionLost()

    def test_request_is_answered_with_tables_and_vm_list(self):
        connection, transport = self.connect()
        request = SyncRequest('n1', 0, wants_vm_list=True)
        frame = encode_request(request)
        connection.dataReceived(len(frame).to_bytes(4, 'big') + frame)
        answer = decode_answer(transport.value()[4:])
        assert (answer.revision, answer.routes) == (3, ROUTES)
        assert [vm.vm_id for vm in answer.vms] == ['n0', 'n1']
        assert transport.disconnecting
        self.close(connection)

    @pytest.mark.parametrize(
        'sent',
        [
            (MAX_REQUEST_BYTES + 1).to_bytes(4, 'big'),
            b'\0\0\0\x04abcd',
        ],
    )
    def test_malformed_request_closes_the_connection(self, sent):
        connection, transport = self.connect()
        connection.dataReceived(sent)
        assert transport.disconnecting or transport.disconnected
        assert dropped(self.collectors, 'malformed') == 1
        self.close(connection)

    def test_connection_from_an_unlisted_host_is_closed(self):
        connection, transport = self.connect('127.0.0.9')
        assert transport.disconnecting or transport.disconnected
        self.close(connection)

    def test_connections_beyond_the_limit_are_closed(self):
        connections = [self.connect()[0] for _ in range(MAX_CONNECTIONS)]
        connection, transport = self.connect()
        assert transport.disconnecting or transport.disconnected
        self.close(connection)
        for opened in connections:
            self.close(opened)
        assert self.server.open_connections == 0


class TestUnsentAnswers:
    """Guards against answers for a whole fleet that exceed the memory."""

    LARGEST_BYTES = 1_000_000

    def setup_method(self):
        counters = PeerCounters(CollectorRegistry())
        self.server = PeerServer(SimpleNamespace(has_host=bool), counters)

    def ask(self, size):
        """Let a peer ask for an answer of this size."""
        self.server.make_answer = lambda frame: ('Answer', bytes(size))
        connection = self.server.buildProtocol(None)
        connection.makeConnection(StringTransport())
        connection.dataReceived(bytes((0, 0, 0, 1, 0)))
        return connection

    def is_answered(self, connection):
        return bool(connection.transport.value())

    @pytest.mark.parametrize(
        ('excess', 'answered'), [(-1, True), (0, True), (1, False)]
    )
    def test_answers_are_sent_up_to_the_limit(self, excess, answered):
        first = self.ask(MAX_UNSENT_BYTES - self.LARGEST_BYTES)
        last = self.ask(self.LARGEST_BYTES + excess)
        assert self.is_answered(first)
        assert self.is_answered(last) is answered
        first.connectionLost()
        last.connectionLost()
        assert self.server.unsent_bytes == 0
        again = self.ask(self.LARGEST_BYTES + excess)
        assert self.is_answered(again)
        again.connectionLost()


class TestSlowAnswers:
    """Guards against a node on a slow link that no answer ever reaches."""

    @pytest.mark.parametrize(
        ('pause_s', 'count', 'ends'),
        [(0.9, 5, False), (1.1, 2, True), (0.9, 7, True)],
    )
    def test_answer_may_take_long_but_not_pause(
        self, monkeypatch, pause_s, count, ends
    ):
        loop = Clock()
        monkeypatch.setattr(
            _client,
            'call_later',
            lambda delay_ms, action: loop.callLater(delay_ms / 1000, action),
        )
        answers = []
        connection = _client._RequestConnection(b'?', answers.append)
        transport = StringTransport()
        connection.makeConnection(transport)
        connection.dataReceived(bytes((0, 0, 0, 200)))
        for _ in range(count):
            loop.advance(pause_s)
            connection.dataReceived(b'x')
        assert bool(transport.disconnecting or transport.disconnected) is ends
        connection.connectionLost()
        assert answers == [None]


class TestEndlessAnswers:
    """Guards against a peer that sends bytes until the node closes."""

    @pytest.mark.parametrize(
        ('length', 'part_bytes'),
        [(MAX_ANSWER_BYTES + 1, 1), (MAX_ANSWER_BYTES, 65536)],
    )
    def test_answer_is_collected_up_to_its_limit(
        self, monkeypatch, length, part_bytes
    ):
        monkeypatch.setattr(loop, 'reactor', Clock())
        answers = []
        connection = _RequestConnection(b'request', answers.append)
        transport = StringTransport()
        connection.makeConnection(transport)
        connection.dataReceived(length.to_bytes(4))
        received_bytes = 0
        while not transport.disconnecting:
            connection.dataReceived(bytes(part_bytes))
            received_bytes += part_bytes
            assert received_bytes <= MAX_ANSWER_BYTES + part_bytes
        connection.connectionLost()
        assert len(answers) == 1

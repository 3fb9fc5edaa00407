"""Reads of JSON values over HTTP, over connections without sockets."""

from operator import attrgetter

import pytest
from twisted.internet.defer import CancelledError, succeed
from twisted.internet.task import Clock
from wires import Wire

from figdoor_gateway import loop
from figdoor_gateway.platform import (
    PlatformError,
    ResponseLimits,
    ResponseTooLongError,
    _json_client,
)
from figdoor_gateway.platform._client import MAX_RESPONSE_BYTES
from figdoor_gateway.platform._json_client import (
    MAX_FRAMING_BYTES,
    JsonClient,
    JsonConnection,
)

WHOLE = b'HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n{"a":1}'
CHUNKED = (
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'3\r\n{"a\r\n4\r\n":1}\r\n0\r\n\r\n'
)
UNTIL_CLOSE = b'HTTP/1.1 200 OK\r\n\r\n{"a":1}'
FAILED = b'HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\n{}'
INTERIM = b'HTTP/1.1 102 Processing\r\n\r\n'


class ScriptedClient(JsonClient):
    """Opens connections without sockets."""

    def __init__(self):
        super().__init__('http://10.0.0.1:8142')
        self.opened = []

    def _connect(self):
        connection = JsonConnection(self._on_closed)
        connection.makeConnection(Wire())
        self.opened.append(connection)
        return succeed(connection)


class Rig:
    """A client, and the outcome of each read."""

    def __init__(self):
        self.client = ScriptedClient()
        self.outcomes = []

    def get(self, timeout_ms=60_000, limits=ResponseLimits(), **query):
        reading = self.client.get('/kv', timeout_ms, limits, **query)
        reading.addCallback(attrgetter('content'))
        reading.addBoth(self.outcomes.append)
        return reading

    @property
    def connection(self):
        return self.client.opened[-1]

    def receive(self, data):
        self.connection.dataReceived(data)

    @property
    def error(self):
        return self.outcomes[-1].value


@pytest.fixture
def rig():
    return Rig()


class TestValue:
    """Guards against values that are cut, mixed up or never returned."""

    def test_request_names_host_and_query(self, rig):
        rig.get(Prefix='', after='a/b c')
        assert rig.connection.transport.value() == (
            b'GET /kv?Prefix=&after=a%2Fb+c HTTP/1.1\r\n'
            b'Host: 10.0.0.1:8142\r\n\r\n'
        )
        rig.receive(WHOLE)

    @pytest.mark.parametrize('response', [WHOLE, CHUNKED, INTERIM + WHOLE])
    @pytest.mark.parametrize('step', [1, 5, 1000])
    def test_value_is_returned_however_it_arrives(self, rig, response, step):
        rig.get()
        for start in range(0, len(response), step):
            assert not rig.outcomes
            rig.receive(response[start : start + step])
        assert rig.outcomes == [{'a': 1}]

    def test_close_ends_a_response_without_length(self, rig):
        rig.get()
        rig.receive(UNTIL_CLOSE)
        assert not rig.outcomes
        rig.connection.connectionLost()
        assert rig.outcomes == [{'a': 1}]

    @pytest.mark.parametrize(
        'response', [b'', WHOLE[:-1], CHUNKED[:-5], INTERIM]
    )
    def test_response_that_is_cut_is_a_failure(self, rig, response):
        rig.get()
        rig.receive(response)
        rig.connection.connectionLost()
        assert isinstance(rig.error, PlatformError)

    def test_status_of_a_failure_is_reported(self, rig):
        rig.get()
        rig.receive(FAILED)
        assert rig.error.status == 503

    @pytest.mark.parametrize(
        'response',
        [
            b'nonsense\r\n',
            WHOLE + WHOLE,
            WHOLE.replace(b'"a"', b'a,"'),
            b'HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n',
            b'HTTP/1.1 099 OK\r\nContent-Length: 0\r\n\r\n' + WHOLE,
        ],
    )
    def test_response_that_is_malformed_is_a_failure(self, rig, response):
        rig.get()
        rig.receive(response)
        assert isinstance(rig.error, PlatformError | ValueError)

    def test_response_without_end_is_a_failure(self, rig):
        rig.get()
        rig.receive(UNTIL_CLOSE)
        part = bytes(MAX_RESPONSE_BYTES // 8)
        for _ in range(8):
            rig.receive(part)
        assert isinstance(rig.error, PlatformError)
        assert rig.connection.transport.aborted


class TestEndlessBytes:
    """Guards against a parser that buffers until memory runs out.

    A store in trouble may send bytes until this side closes, and each of them
    restarts the time-out of a pause.
    """

    HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    PART = b'a' * 4096

    @pytest.mark.parametrize(
        'begin',
        [
            b'HTTP/1.1 200 ',
            b'HTTP/1.1 200 OK\r\nX-A: ',
            INTERIM + b'HTTP/1.1 102 ',
            HEAD + b'2;ext=',
            HEAD + b'1\r\n{\r\n2;ext=',
            HEAD + b'0\r\nX-Trailer: ',
        ],
    )
    def test_framing_without_end_is_a_failure(self, rig, begin):
        rig.get(limits=ResponseLimits(transfer_ms=60_000))
        rig.receive(begin)
        received_bytes = 0
        while not rig.outcomes and received_bytes < MAX_RESPONSE_BYTES:
            rig.receive(self.PART)
            received_bytes += len(self.PART)
        assert received_bytes <= 2 * MAX_FRAMING_BYTES
        assert isinstance(rig.error, PlatformError)
        assert rig.connection.transport.aborted

    @pytest.mark.parametrize('line', [b'X-A: b\r\n', b' \r\n', INTERIM])
    def test_short_lines_without_end_are_a_failure(self, rig, line):
        rig.get()
        rig.receive(INTERIM[:-2])
        for _ in range(MAX_RESPONSE_BYTES // 4096):
            if not rig.outcomes:
                rig.receive(line * (4096 // len(line)))
        assert isinstance(rig.error, PlatformError)
        assert rig.connection.transport.aborted

    def test_body_is_no_framing(self, rig):
        rig.get()
        body = b'"%b"' % (self.PART * 40)
        rig.receive(
            b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body)
        )
        for start in range(0, len(body), 1000):
            rig.receive(body[start : start + 1000])
        assert rig.outcomes == [(self.PART * 40).decode()]


class TestLimits:
    """Guards against long watches that are read whole, and slow ones cut."""

    @pytest.mark.parametrize(
        ('body_bytes', 'is_read'), [(63, True), (64, True), (65, False)]
    )
    @pytest.mark.parametrize('is_stated', [True, False])
    def test_response_at_the_limit(self, rig, body_bytes, is_read, is_stated):
        rig.get(limits=ResponseLimits(max_bytes=64))
        body = b'"%b"' % (b'b' * (body_bytes - 2))
        head = b'Content-Length: %d\r\n' % body_bytes if is_stated else b''
        rig.receive(b'HTTP/1.1 200 OK\r\n%b\r\n%b' % (head, body))
        if not is_stated:
            rig.connection.connectionLost()
        if is_read:
            assert rig.outcomes == ['b' * (body_bytes - 2)]
        else:
            assert isinstance(rig.error, ResponseTooLongError)

    def test_stated_length_over_the_limit_fails_before_the_body(self, rig):
        rig.get(limits=ResponseLimits(max_bytes=64))
        rig.receive(b'HTTP/1.1 200 OK\r\nContent-Length: 65\r\n\r\n')
        assert isinstance(rig.error, ResponseTooLongError)
        assert rig.connection.transport.aborted

    def test_slow_body_is_read_while_it_moves(self, rig, monkeypatch):
        clock = Clock()
        monkeypatch.setattr(loop, 'reactor', clock)
        monkeypatch.setattr(_json_client, 'reactor', clock)
        limits = ResponseLimits(transfer_ms=6000)
        rig.get(500, limits)
        rig.receive(WHOLE[:-5])
        clock.advance(0.9)
        rig.receive(WHOLE[-5:-3])
        clock.advance(0.9)
        rig.receive(WHOLE[-3:])
        assert rig.outcomes == [{'a': 1}]
        assert not clock.getDelayedCalls()

    @pytest.mark.parametrize(
        ('data', 'wait_s'), [(b'', 0.6), (WHOLE[:-5], 1.1)]
    )
    def test_response_that_stalls_fails(self, rig, monkeypatch, data, wait_s):
        clock = Clock()
        monkeypatch.setattr(loop, 'reactor', clock)
        monkeypatch.setattr(_json_client, 'reactor', clock)
        limits = ResponseLimits(transfer_ms=6000)
        rig.get(500, limits)
        rig.receive(data)
        clock.advance(wait_s)
        assert isinstance(rig.error, PlatformError)
        assert rig.connection.transport.aborted
        assert not clock.getDelayedCalls()


class TestConnection:
    """Guards against reads over a connection with data of an earlier one."""

    def test_connection_is_used_again(self, rig):
        for _ in range(3):
            rig.get()
            rig.receive(WHOLE)
        assert rig.outcomes == 3 * [{'a': 1}]
        assert len(rig.client.opened) == 1

    def test_connection_is_used_again_after_an_error_status(self, rig):
        rig.get()
        rig.receive(FAILED)
        rig.get()
        rig.receive(WHOLE)
        assert rig.outcomes[-1] == {'a': 1}
        assert len(rig.client.opened) == 1

    @pytest.mark.parametrize(
        'close',
        [
            lambda rig: rig.connection.connectionLost(),
            lambda rig: rig.receive(WHOLE),
        ],
        ids=['closed', 'unrequested response'],
    )
    def test_idle_connection_that_ended_is_not_used(self, rig, close):
        rig.get()
        rig.receive(WHOLE)
        close(rig)
        rig.connection.connectionLost()
        rig.get()
        rig.receive(WHOLE)
        assert rig.outcomes == 2 * [{'a': 1}]
        assert len(rig.client.opened) == 2

    def test_connection_is_closed_if_the_response_says_so(self, rig):
        rig.get()
        closing = b'200 OK\r\nConnection: close'
        rig.receive(WHOLE.replace(b'200 OK', closing))
        assert rig.outcomes == [{'a': 1}]
        assert rig.connection.transport.closed
        rig.get()
        assert len(rig.client.opened) == 2
        rig.receive(WHOLE)

    def test_cancelled_read_resets_its_connection(self, rig):
        reading = rig.get()
        rig.receive(WHOLE[:-2])
        reading.cancel()
        assert rig.outcomes[0].check(CancelledError)
        assert rig.connection.transport.aborted
        rig.connection.connectionLost()
        rig.get()
        rig.receive(WHOLE)
        assert rig.outcomes[1] == {'a': 1}
        assert len(rig.client.opened) == 2

    def test_concurrent_reads_use_connections_of_their_own(self, rig):
        rig.get()
        rig.get()
        first, second = rig.client.opened
        second.dataReceived(WHOLE)
        first.dataReceived(WHOLE)
        assert rig.outcomes == 2 * [{'a': 1}]
        assert first.transport.closed
        assert not second.transport.closed

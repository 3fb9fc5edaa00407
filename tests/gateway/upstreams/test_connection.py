"""Completeness of responses, and reuse of connections.

Guards against a malformed or truncated response that counts as complete, and
against reuse of a connection that may still carry data of an earlier response.
"""

import pytest
from wires import Receiver, Wire

from figdoor_gateway.headers import FigdoorDialect
from figdoor_gateway.protocols import OutboundRequest
from figdoor_gateway.upstreams._connection import (
    READ_BUFFER_BYTES,
    SMALL_READ_BYTES,
    UpstreamConnection,
)
from figdoor_gateway.upstreams._request_handle import HttpRequestHandle

OK = b'HTTP/1.1 200 OK\r\n'
COMPLETE = OK + b'Content-Length: 2\r\n\r\nab'


class Source:
    """A body source that records whether it is paused."""

    def __init__(self):
        self.paused = True

    def pause_body(self):
        self.paused = True

    def resume_body(self):
        self.paused = False


class Rig:
    """A connection with a request in progress."""

    def __init__(self, method=b'GET', body=b'', length=0, source=None):
        self.released = []
        self.closed = []
        self.errors = []
        self.connection = UpstreamConnection(
            self.released.append,
            self.closed.append,
            1000,
            FigdoorDialect(),
            self.errors.append,
        )
        self.wire = Wire()
        self.connection.makeConnection(self.wire)
        self.request = OutboundRequest(
            method,
            b'/x',
            [(b'host', b'a')],
            body,
            source is None,
            length,
            source,
        )
        self.receiver = Receiver()
        self.handle = HttpRequestHandle(
            self.request, self.receiver, self._release
        )
        self.handle.send_on(self.connection)

    def _release(self, connection):
        self.released.append(connection)

    def receive(self, data):
        self.connection.dataReceived(data)
        return self.receiver.ends

    @property
    def is_reusable(self):
        return bool(self.released) and self.connection.is_usable


class TestEndlessBytes:
    """Bytes that are no answer may come until this side closes."""

    CHUNKED = OK + b'Transfer-Encoding: chunked\r\n\r\n'
    PART = b'a' * 100

    @pytest.mark.parametrize(
        'begin',
        [
            b'HTTP/1.1 200 ',
            OK + b'X-A: ',
            CHUNKED + b'2;ext=',
            CHUNKED + b'2\r\nab\r\n1;ext=',
            CHUNKED + b'0\r\nX-Trailer: ',
        ],
    )
    def test_framing_without_end_closes_the_connection(self, begin):
        """Guards against a parser that buffers until memory runs out."""
        rig = Rig()
        received = 0
        rig.receive(begin)
        while rig.connection.is_usable:
            rig.receive(self.PART)
            received += len(self.PART)
            assert received <= 2000
        assert rig.receiver.ends == ['lost']
        assert rig.wire.aborted

    def test_interim_responses_without_end_close_the_connection(self):
        rig = Rig()
        for _ in range(100):
            if rig.connection.is_usable:
                rig.receive(b'HTTP/1.1 103 Early Hints\r\n\r\n')
        assert rig.receiver.ends == ['lost']

    def test_long_body_is_no_framing(self):
        rig = Rig()
        rig.receive(OK + b'Content-Length: 20000\r\n\r\n')
        for _ in range(200):
            rig.receive(self.PART)
        assert rig.receiver.ends == ['complete']


class TestSmallChunks:
    """Guards against a body in tiny chunks that delays all other requests."""

    CHUNKED = OK + b'Transfer-Encoding: chunked\r\n\r\n'

    def test_body_in_small_chunks_is_read_in_small_parts(self):
        rig = Rig()
        rig.receive(self.CHUNKED + b'1\r\na\r\n' * 1000)
        assert rig.wire.bufferSize == SMALL_READ_BYTES
        rig.receive(b'0\r\n\r\n')
        assert rig.receiver.ends == ['complete']
        assert rig.receiver.body == b'a' * 1000
        # The next response on the connection is an ordinary one again.
        rig.handle = HttpRequestHandle(rig.request, Receiver(), rig._release)
        rig.handle.send_on(rig.connection)
        assert rig.wire.bufferSize == READ_BUFFER_BYTES

    def test_body_in_ordinary_chunks_is_read_in_large_parts(self):
        rig = Rig()
        rig.receive(self.CHUNKED + (b'400\r\n%b\r\n' % bytes(1024)) * 70)
        assert rig.wire.bufferSize == READ_BUFFER_BYTES


MALFORMED = {
    'garbage': b'\x00garbage\r\n\r\n',
    'neither length nor chunks': OK + b'\r\nab',
    'length and chunks': (
        OK + b'Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nab'
    ),
    'other coding': OK + b'Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n',
    'two lengths': OK + b'Content-Length: 2\r\nContent-Length: 3\r\n\r\nab',
    'switching protocols': b'HTTP/1.1 101 S\r\nUpgrade: x\r\n\r\n',
    'bad chunk': OK + b'Transfer-Encoding: chunked\r\n\r\nzz\r\n',
    'large head': OK + b'A: %b\r\n\r\n' % (b'a' * 2000),
    'endless head': OK + b'A: %b' % (b'a' * 2000),
    'large trailer': (
        OK + b'Transfer-Encoding: chunked\r\n\r\n0\r\nA: %b\r\n\r\n'
    )
    % (b'a' * 2000),
}


class TestInvalidStatus:
    """Guards against bytes that are no status and reach a caller as one.

    Only statuses from 100 to 599 are valid (RFC 9110, section 15).
    """

    @pytest.mark.parametrize(
        'status',
        [
            *(b'000', b'099', b'600', b'999'),
            *(b'0', b'20', b'0200', b'2000', b'2x0', b'-20', b'+20', b''),
        ],
    )
    @pytest.mark.parametrize('body', [b'', b'ab'])
    def test_response_is_lost_at_once(self, status, body):
        rig = Rig()
        head = b'HTTP/1.1 %b OK\r\nContent-Length: %d\r\n\r\n'
        assert rig.receive(head % (status, len(body)) + body) == ['lost']
        assert not rig.receiver.heads
        assert rig.wire.aborted

    def test_no_response_is_taken_after_an_invalid_status(self):
        """Guards against the end of a broken response that looks whole."""
        rig = Rig()
        rig.receive(b'HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n' + COMPLETE)
        assert rig.receiver.ends == ['lost']
        assert not rig.receiver.heads

    def test_reason_with_a_control_character_is_left_out(self):
        """Guards against a status line that callers reject or misread."""
        rig = Rig()
        response = COMPLETE.replace(b'OK', b'O\x00K')
        assert rig.receive(response) == ['complete']
        assert not rig.receiver.heads[0].reason

    @pytest.mark.parametrize('status', [200, 299, 404, 500, 599])
    def test_final_status_is_forwarded(self, status):
        rig = Rig()
        response = COMPLETE.replace(b'200', b'%d' % status)
        assert rig.receive(response) == ['complete']


class TestUpstreamConnection:
    def test_unexpected_error_loses_the_response_and_is_reported(
        self, monkeypatch
    ):
        """Guards against an error that the parser hides."""
        rig = Rig()
        monkeypatch.setattr(
            FigdoorDialect, 'classify_response', lambda *_: 1 / 0
        )
        assert rig.receive(OK + b'Content-Length: 2\r\n\r\nab') == ['lost']
        assert isinstance(rig.errors[0], ZeroDivisionError)
        assert not rig.is_reusable

    @pytest.mark.parametrize(
        'response',
        [
            COMPLETE,
            OK + b'Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n',
            b'HTTP/1.1 100 Continue\r\n\r\n' + COMPLETE,
            b'HTTP/1.1 103 Hints\r\nLink: a\r\n\r\n' + COMPLETE,
        ],
    )
    @pytest.mark.parametrize('step', [1, 7, 1000])
    def test_connection_is_reused_after_complete_response(self, response, step):
        rig = Rig()
        for start in range(0, len(response), step):
            rig.receive(response[start : start + step])
        assert rig.receiver.ends == ['complete']
        assert rig.receiver.body == b'ab'
        assert rig.is_reusable

    @pytest.mark.parametrize('name', MALFORMED)
    def test_malformed_response_is_lost_and_connection_closed(self, name):
        rig = Rig()
        assert rig.receive(MALFORMED[name]) == ['lost']
        assert rig.wire.aborted
        assert not rig.is_reusable

    def test_truncated_response_is_lost(self):
        rig = Rig()
        rig.receive(COMPLETE[:-1])
        rig.connection.connectionLost()
        assert rig.receiver.ends == ['died']
        assert rig.closed

    @pytest.mark.parametrize('surplus', [b'x', COMPLETE, b'\0'])
    def test_data_after_response_only_closes_connection(self, surplus):
        rig = Rig()
        assert rig.receive(COMPLETE + surplus) == ['complete']
        assert rig.wire.aborted
        assert not rig.is_reusable

    def test_data_on_idle_connection_makes_it_unusable(self):
        rig = Rig()
        rig.receive(COMPLETE)
        rig.receive(COMPLETE)
        assert not rig.connection.is_usable
        assert rig.receiver.ends == ['complete']

    def test_response_to_cancelled_request_is_ignored(self):
        rig = Rig()
        rig.handle.cancel()
        rig.receive(COMPLETE)
        assert not rig.receiver.ends
        assert not rig.is_reusable

    def test_cancel_in_receiver_callback_prevents_reuse(self):
        rig = Rig()
        rig.receiver.body_callback = rig.handle.cancel
        rig.receive(COMPLETE)
        assert not rig.receiver.ends
        assert not rig.is_reusable

    def test_cancel_after_end_does_not_affect_next_request(self):
        rig = Rig()
        rig.receive(COMPLETE)
        next_receiver = Receiver()
        HttpRequestHandle(
            rig.request, next_receiver, rig.released.append
        ).send_on(
            rig.connection,
        )
        rig.handle.cancel()
        rig.handle.pause()
        rig.receive(COMPLETE)
        assert next_receiver.ends == ['complete']

    def test_paused_connection_is_resumed_before_reuse(self):
        rig = Rig()
        rig.receiver.body_callback = rig.handle.pause
        rig.receive(COMPLETE)
        assert rig.is_reusable
        assert not rig.wire.paused

    @pytest.mark.parametrize(
        ('response', 'is_reusable'),
        [
            (OK + b'Content-Length: 9\r\n\r\n', True),
            (OK + b'Content-Length: 9\r\nConnection: close\r\n\r\n', False),
            (b'HTTP/1.0 200 OK\r\nContent-Length: 9\r\n\r\n', False),
            (OK + b'Content-Length: 2\r\n\r\nab', False),
        ],
    )
    def test_response_to_head_request_ends_with_head(
        self, response, is_reusable
    ):
        rig = Rig(b'HEAD')
        assert rig.receive(response) == ['complete']
        assert rig.is_reusable is is_reusable
        assert not rig.receiver.body

    @pytest.mark.parametrize('status', [204, 304])
    def test_bodiless_status_ends_with_head(self, status):
        rig = Rig()
        rig.receive(b'HTTP/1.1 %d X\r\nContent-Length: 5\r\n\r\n' % status)
        assert rig.receiver.ends == ['complete']
        has_length = (b'content-length', b'5') in rig.receiver.heads[0].headers
        assert has_length is (status == 304)

    def test_connection_header_cannot_remove_length(self):
        rig = Rig()
        rig.receive(
            OK + b'Connection: content-length\r\nContent-Length: 2\r\n\r\nab',
        )
        assert (b'content-length', b'2') in rig.receiver.heads[0].headers

    def test_shed_header_with_inner_outcome_is_ignored(self):
        rig = Rig()
        rig.receive(
            b'HTTP/1.1 503 X\r\nFigdoor-Shed: 1\r\nFigdoor-Outcome: unknown\r\n'
            b'Content-Length: 0\r\n\r\n',
        )
        assert not rig.receiver.heads[0].shed


class TestRequestBody:
    def test_chunked_body_is_sent_in_chunks(self):
        source = Source()
        rig = Rig(b'POST', b'ab', None, source)
        rig.handle.send_body(b'cde')
        rig.handle.finish_body()
        assert rig.wire.value().endswith(
            b'\r\n\r\n2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n',
        )
        assert rig.wire.producer is None

    def test_slow_upstream_pauses_body_source(self):
        source = Source()
        rig = Rig(b'POST', b'ab', 10, source)
        assert not source.paused
        rig.wire.producer.pauseProducing()
        assert source.paused
        rig.wire.producer.resumeProducing()
        assert not source.paused

    def test_response_before_end_of_body_prevents_reuse(self):
        rig = Rig(b'POST', b'ab', 10, Source())
        assert rig.receive(COMPLETE) == ['complete']
        assert not rig.is_reusable
        rig.handle.send_body(b'more')
        assert b'more' not in rig.wire.value()

"""Whole answers only, and reuse only of connections that are in order."""

import pytest
from wires import Receiver, Wire

from figdoor_gateway.headers import FigdoorDialect
from figdoor_gateway.protocols import OutboundRequest
from figdoor_gateway.upstreams._connection import UpstreamConnection
from figdoor_gateway.upstreams._request_handle import HttpRequestHandle

OK = b'HTTP/1.1 200 OK\r\n'
WHOLE = OK + b'Content-Length: 2\r\n\r\nab'


class Source:
    """A request body that can be held back."""

    def __init__(self):
        self.paused = True

    def pause_body(self):
        self.paused = True

    def resume_body(self):
        self.paused = False


class Rig:
    """One connection with a request in progress."""

    def __init__(self, method=b'GET', body=b'', length=0, source=None):
        self.released = []
        self.closed = []
        self.connection = UpstreamConnection(
            self.released.append,
            self.closed.append,
            1000,
            FigdoorDialect(),
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


BROKEN = {
    'rubbish': b'\x00garbage\r\n\r\n',
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


class TestUpstreamConnection:
    @pytest.mark.parametrize(
        'answer',
        [
            WHOLE,
            OK + b'Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n',
            b'HTTP/1.1 100 Continue\r\n\r\n' + WHOLE,
            b'HTTP/1.1 103 Hints\r\nLink: a\r\n\r\n' + WHOLE,
        ],
    )
    @pytest.mark.parametrize('step', [1, 7, 1000])
    def test_connection_is_reused_after_a_whole_answer(self, answer, step):
        rig = Rig()
        for start in range(0, len(answer), step):
            rig.receive(answer[start : start + step])
        assert rig.receiver.ends == ['complete']
        assert rig.receiver.text == b'ab'
        assert rig.is_reusable

    @pytest.mark.parametrize('name', BROKEN)
    def test_broken_answer_is_lost_and_the_connection_closed(self, name):
        rig = Rig()
        assert rig.receive(BROKEN[name]) == ['lost']
        assert rig.wire.aborted
        assert not rig.is_reusable

    def test_cut_answer_is_lost(self):
        rig = Rig()
        rig.receive(WHOLE[:-1])
        rig.connection.connectionLost()
        assert rig.receiver.ends == ['died']
        assert rig.closed

    @pytest.mark.parametrize('surplus', [b'x', WHOLE, b'\0'])
    def test_rubbish_after_the_answer_costs_only_the_connection(self, surplus):
        rig = Rig()
        assert rig.receive(WHOLE + surplus) == ['complete']
        assert rig.wire.aborted
        assert not rig.is_reusable

    def test_idle_connection_that_gets_bytes_is_unusable_at_once(self):
        rig = Rig()
        rig.receive(WHOLE)
        rig.receive(WHOLE)
        assert not rig.connection.is_usable
        assert rig.receiver.ends == ['complete']

    def test_answer_to_a_cancelled_request_is_dropped(self):
        rig = Rig()
        rig.handle.cancel()
        rig.receive(WHOLE)
        assert not rig.receiver.ends
        assert not rig.is_reusable

    def test_cancel_while_the_answer_is_heard_prevents_reuse(self):
        rig = Rig()
        rig.receiver.body_callback = rig.handle.cancel
        rig.receive(WHOLE)
        assert not rig.receiver.ends
        assert not rig.is_reusable

    def test_late_cancel_does_not_touch_the_next_request(self):
        rig = Rig()
        rig.receive(WHOLE)
        following = Receiver()
        HttpRequestHandle(rig.request, following, rig.released.append).send_on(
            rig.connection,
        )
        rig.handle.cancel()
        rig.handle.pause()
        rig.receive(WHOLE)
        assert following.ends == ['complete']

    def test_paused_connection_is_resumed_before_it_is_free(self):
        rig = Rig()
        rig.receiver.body_callback = rig.handle.pause
        rig.receive(WHOLE)
        assert rig.is_reusable
        assert not rig.wire.paused

    @pytest.mark.parametrize(
        ('answer', 'is_reusable'),
        [
            (OK + b'Content-Length: 9\r\n\r\n', True),
            (OK + b'Content-Length: 9\r\nConnection: close\r\n\r\n', False),
            (b'HTTP/1.0 200 OK\r\nContent-Length: 9\r\n\r\n', False),
            (OK + b'Content-Length: 2\r\n\r\nab', False),
        ],
    )
    def test_answer_to_head_ends_with_its_head(self, answer, is_reusable):
        rig = Rig(b'HEAD')
        assert rig.receive(answer) == ['complete']
        assert rig.is_reusable is is_reusable
        assert not rig.receiver.text

    @pytest.mark.parametrize('status', [204, 304])
    def test_bodiless_status_ends_with_its_head(self, status):
        rig = Rig()
        rig.receive(b'HTTP/1.1 %d X\r\nContent-Length: 5\r\n\r\n' % status)
        assert rig.receiver.ends == ['complete']
        has_length = (b'content-length', b'5') in rig.receiver.heads[0].headers
        assert has_length is (status == 304)

    def test_connection_header_cannot_remove_the_length(self):
        rig = Rig()
        rig.receive(
            OK + b'Connection: content-length\r\nContent-Length: 2\r\n\r\nab',
        )
        assert (b'content-length', b'2') in rig.receiver.heads[0].headers

    def test_shed_mark_of_a_deeper_level_proves_nothing(self):
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

    def test_body_is_held_back_while_the_upstream_reads_slowly(self):
        source = Source()
        rig = Rig(b'POST', b'ab', 10, source)
        assert not source.paused
        rig.wire.producer.pauseProducing()
        assert source.paused
        rig.wire.producer.resumeProducing()
        assert not source.paused

    def test_answer_before_the_body_ends_prevents_reuse(self):
        rig = Rig(b'POST', b'ab', 10, Source())
        assert rig.receive(WHOLE) == ['complete']
        assert not rig.is_reusable
        rig.handle.send_body(b'more')
        assert b'more' not in rig.wire.value()

"""Whole answers only, and reuse only of connections that are in order."""

import pytest
from wires import Receiver, Wire

from figdoor_gateway.headers import FigdoorDialect
from figdoor_gateway.protocols import OutboundRequest
from figdoor_gateway.upstreams._connection import UpstreamConnection
from figdoor_gateway.upstreams._sending import HttpSending

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
        self.freed = []
        self.closed = []
        self.connection = UpstreamConnection(
            self.freed.append,
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
        self.sending = HttpSending(self.request, self.receiver, self._keep)
        self.sending.use(self.connection)

    def _keep(self, connection):
        self.freed.append(connection)

    def get(self, data):
        self.connection.dataReceived(data)
        return self.receiver.ends

    @property
    def reusable(self):
        return bool(self.freed) and self.connection.is_usable


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
            rig.get(answer[start : start + step])
        assert rig.receiver.ends == ['complete']
        assert rig.receiver.text == b'ab'
        assert rig.reusable

    @pytest.mark.parametrize('name', BROKEN)
    def test_broken_answer_is_lost_and_the_connection_closed(self, name):
        rig = Rig()
        assert rig.get(BROKEN[name]) == ['lost']
        assert rig.wire.aborted
        assert not rig.reusable

    def test_cut_answer_is_lost(self):
        rig = Rig()
        rig.get(WHOLE[:-1])
        rig.connection.connectionLost()
        assert rig.receiver.ends == ['died']
        assert rig.closed

    @pytest.mark.parametrize('rubbish', [b'x', WHOLE, b'\0'])
    def test_rubbish_after_the_answer_costs_only_the_connection(self, rubbish):
        rig = Rig()
        assert rig.get(WHOLE + rubbish) == ['complete']
        assert rig.wire.aborted
        assert not rig.reusable

    def test_idle_connection_that_gets_bytes_is_unusable_at_once(self):
        rig = Rig()
        rig.get(WHOLE)
        rig.get(WHOLE)
        assert not rig.connection.is_usable
        assert rig.receiver.ends == ['complete']

    def test_answer_to_a_cancelled_request_is_dropped(self):
        rig = Rig()
        rig.sending.cancel()
        rig.get(WHOLE)
        assert not rig.receiver.ends
        assert not rig.reusable

    def test_cancel_while_the_answer_is_heard_prevents_reuse(self):
        rig = Rig()
        rig.receiver.on_body = rig.sending.cancel
        rig.get(WHOLE)
        assert not rig.receiver.ends
        assert not rig.reusable

    def test_late_cancel_does_not_touch_the_next_request(self):
        rig = Rig()
        rig.get(WHOLE)
        following = Receiver()
        HttpSending(rig.request, following, rig.freed.append).use(
            rig.connection,
        )
        rig.sending.cancel()
        rig.sending.pause()
        rig.get(WHOLE)
        assert following.ends == ['complete']

    def test_paused_connection_is_resumed_before_it_is_free(self):
        rig = Rig()
        rig.receiver.on_body = rig.sending.pause
        rig.get(WHOLE)
        assert rig.reusable
        assert not rig.wire.paused

    @pytest.mark.parametrize(
        ('answer', 'reusable'),
        [
            (OK + b'Content-Length: 9\r\n\r\n', True),
            (OK + b'Content-Length: 9\r\nConnection: close\r\n\r\n', False),
            (b'HTTP/1.0 200 OK\r\nContent-Length: 9\r\n\r\n', False),
            (OK + b'Content-Length: 2\r\n\r\nab', False),
        ],
    )
    def test_answer_to_head_ends_with_its_head(self, answer, reusable):
        rig = Rig(b'HEAD')
        assert rig.get(answer) == ['complete']
        assert rig.reusable is reusable
        assert not rig.receiver.text

    @pytest.mark.parametrize('status', [204, 304])
    def test_bodiless_status_ends_with_its_head(self, status):
        rig = Rig()
        rig.get(b'HTTP/1.1 %d X\r\nContent-Length: 5\r\n\r\n' % status)
        assert rig.receiver.ends == ['complete']
        has_length = (b'content-length', b'5') in rig.receiver.heads[0].headers
        assert has_length is (status == 304)

    def test_connection_header_cannot_remove_the_length(self):
        rig = Rig()
        rig.get(
            OK + b'Connection: content-length\r\nContent-Length: 2\r\n\r\nab',
        )
        assert (b'content-length', b'2') in rig.receiver.heads[0].headers

    def test_shed_mark_of_a_deeper_level_proves_nothing(self):
        rig = Rig()
        rig.get(
            b'HTTP/1.1 503 X\r\nFigdoor-Shed: 1\r\nFigdoor-Outcome: unknown\r\n'
            b'Content-Length: 0\r\n\r\n',
        )
        assert not rig.receiver.heads[0].shed


class TestRequestBody:
    def test_chunked_body_is_sent_in_chunks(self):
        source = Source()
        rig = Rig(b'POST', b'ab', None, source)
        rig.sending.send_body(b'cde')
        rig.sending.finish_body()
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
        assert rig.get(WHOLE) == ['complete']
        assert not rig.reusable
        rig.sending.send_body(b'more')
        assert b'more' not in rig.wire.value()

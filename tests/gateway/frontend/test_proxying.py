"""Responses and outcomes that callers get when upstreams fail.

Guards against truncated responses that look complete, wrong outcomes, and
requests that run twice because a retry was not safe.
"""

import pytest
from support import Recorder
from wires import GET, HEAD, FrontEndRig

from figdoor_gateway.frontend._attempt import MAX_DISCARDED_BYTES
from figdoor_gateway.protocols import ResponseHead
from figdoor_kernel import (
    AttemptEnded,
    AttemptSent,
    BackoffRequested,
    LeavingSeen,
)

POST = b'POST /x HTTP/1.1\r\nHost: any.example\r\n'
LARGE = POST + b'Content-Length: 300\r\n\r\n' + b'a' * 200
CHUNKED = POST + b'Transfer-Encoding: chunked\r\n\r\n'


class TestResponses:
    def test_response_to_head_has_length_and_no_body(self, rig):
        _, wire = rig.request(GET.replace(b'GET', b'HEAD'))
        rig.attempts[0].respond(
            body=b'',
            length=0,
            headers=[(b'content-length', b'5')],
            is_complete=False,
        )
        rig.attempts[0].receiver.on_complete()
        assert wire.value().endswith(b'\r\n\r\n')
        assert b'content-length: 5' in wire.value()

    def test_chunked_response_ends_with_last_chunk(self, rig):
        _, wire = rig.request()
        rig.attempts[0].respond(body=b'abc', length=None)
        assert wire.value().endswith(b'3\r\nabc\r\n0\r\n\r\n')

    def test_http10_caller_gets_length_instead_of_chunks(self, rig):
        _, wire = rig.request(b'GET /x HTTP/1.0\r\n\r\n')
        rig.attempts[0].respond(body=b'abc', length=None)
        assert b'content-length: 3' in wire.value()
        assert b'transfer-encoding' not in wire.value()

    def test_response_too_large_to_buffer_for_http10_is_unknown(self, rig):
        _, wire = rig.request(b'GET /x HTTP/1.0\r\n\r\n')
        rig.attempts[0].respond(
            body=b'a' * 1001, length=None, is_complete=False
        )
        assert wire.value().startswith(b'HTTP/1.1 502')
        assert rig.attempts[0].cancelled

    def test_response_is_sent_before_end_of_attempt_is_published(self, rig):
        # Otherwise the response waits for all subscribers of the event.
        _, wire = rig.request()
        events = rig.front_end.dispatcher.node.events
        written = []
        events.subscribe(AttemptEnded, lambda _: written.append(wire.value()))
        rig.attempts[0].respond()
        assert written[0].endswith(b'ok')

    def test_truncated_response_is_truncated_for_caller(self, rig):
        _, wire = rig.request()
        rig.attempts[0].respond(body=b'ab', length=4, is_complete=False)
        rig.attempts[0].receiver.on_lost(connection_died=True)
        assert wire.aborted
        assert len(rig.attempts) == 1

    def test_truncated_response_buffered_for_http10_is_unknown(self, rig):
        _, wire = rig.request(b'POST /x HTTP/1.0\r\nContent-Length: 0\r\n\r\n')
        rig.attempts[0].respond(body=b'ab', length=None, is_complete=False)
        rig.attempts[0].receiver.on_lost(connection_died=True)
        assert wire.value().startswith(b'HTTP/1.1 502')

    def test_figdoor_headers_of_upstream_are_not_forwarded(self, rig):
        _, wire = rig.request()
        headers = [
            (b'figdoor-outcome', b'not-run'),
            (b'figdoor-shed', b'1'),
            (b'figdoor-reason', b'x'),
        ]
        rig.attempts[0].respond(headers=headers)
        head = wire.value().partition(b'\r\n\r\n')[0]
        headers = [line for line in head.split(b'\r\n') if b'figdoor' in line]
        assert headers == [
            b'figdoor-inner-outcome: not-run',
            b'figdoor-outcome: answered',
        ]


class TestOutcomes:
    def test_figdoor_headers_of_caller_are_not_forwarded(self, rig):
        headers = b'Figdoor-Attempt: 9\r\nFigdoor-Shed: 1\r\nfigdoor-x: 1\r\n'
        rig.request(HEAD + headers + b'\r\n')
        names = [name for name, _ in rig.attempts[0].request.headers]
        assert names == [b'host', b'figdoor-deadline-ms', b'figdoor-attempt']

    @pytest.mark.plugin_errors
    def test_exception_in_rule_gives_unknown_outcome(self, rig, monkeypatch):
        rule = rig.front_end.dispatcher.candidate_rules[0]
        monkeypatch.setattr(type(rule), 'evaluate', lambda *_: 1 / 0)
        _, wire = rig.request()
        assert wire.value().startswith(b'HTTP/1.1 502')
        assert b'figdoor-outcome: unknown' in wire.value()

    @pytest.mark.plugin_errors
    @pytest.mark.parametrize('fault', ['rule', 'subscriber'])
    @pytest.mark.parametrize(
        ('lost_before', 'outcome'),
        [(False, b'not-run'), (True, b'unknown')],
    )
    def test_exception_before_first_byte_gives_correct_outcome(
        self,
        rig,
        monkeypatch,
        fault,
        lost_before,
        outcome,
    ):
        """Guards against a missing or wrong outcome after an exception."""
        rig.upstreams.auto_confirm = False
        _, wire = rig.request()
        if lost_before:
            assert rig.attempts[0].confirm()
            rig.attempts[0].receiver.on_lost(connection_died=True)
        attempt = rig.attempts[-1]
        with monkeypatch.context() as patches:
            if fault == 'rule':
                rule = rig.front_end.dispatcher.candidate_rules[0]
                patches.setattr(type(rule), 'confirm', lambda *_: 1 / 0)
            else:
                handlers = rig.node.events._handlers
                patches.setitem(handlers, AttemptSent, [lambda _: 1 / 0])
            assert not attempt.confirm()
            attempt.receiver.on_unsent(refused=False)
        assert b'figdoor-outcome: %b\r' % outcome in wire.value()
        assert len(rig.attempts) == 1 + lost_before
        _, wire = rig.request()
        assert rig.attempts[-1].confirm()
        rig.attempts[-1].respond()
        assert wire.value().startswith(b'HTTP/1.1 200')

    def test_lost_post_is_unknown_and_not_retried(self, rig):
        _, wire = rig.request(POST + b'Content-Length: 0\r\n\r\n')
        rig.attempts[0].receiver.on_lost(connection_died=True)
        assert wire.value().startswith(b'HTTP/1.1 502')
        assert b'figdoor-outcome: unknown' in wire.value()
        assert len(rig.attempts) == 1

    def test_shed_post_is_sent_to_another_upstream(self, rig):
        _, wire = rig.request(POST + b'Content-Length: 0\r\n\r\n')
        rig.attempts[0].respond(503, shed=True)
        rig.attempts[1].respond()
        assert wire.value().startswith(b'HTTP/1.1 200')

    def test_body_without_end_does_not_hold_up_a_call_that_was_shed(self, rig):
        """Guards against a call that waits for a body nobody gets."""
        _, wire = rig.request(POST + b'Content-Length: 0\r\n\r\n')
        shed = rig.attempts[0]
        shed.respond(503, shed=True, length=None, is_complete=False)
        received_bytes = 0
        while len(rig.attempts) == 1 and not wire.value():
            shed.receiver.on_body(b'a' * 4096)
            received_bytes += 4096
            assert received_bytes <= MAX_DISCARDED_BYTES + 4096
        assert shed.cancelled
        rig.attempts[1].respond(200)
        assert wire.value().startswith(b'HTTP/1.1 200')

    def test_post_shed_by_all_upstreams_is_not_run(self, rig):
        _, wire = rig.request(POST + b'Content-Length: 0\r\n\r\n')
        for number in range(2):
            rig.attempts[number].respond(503, shed=True)
        assert wire.value().startswith(b'HTTP/1.1 503')
        assert b'figdoor-outcome: not-run' in wire.value()

    def test_shed_after_lost_attempt_is_unknown(self, rig):
        _, wire = rig.request()
        rig.attempts[0].receiver.on_lost(connection_died=True)
        rig.attempts[1].respond(503, shed=True)
        assert wire.value().startswith(b'HTTP/1.1 502')
        assert b'figdoor-outcome: unknown' in wire.value()

    def test_deadline_after_send_cancels_and_gives_504(self, rig):
        _, wire = rig.request(POST + b'Content-Length: 0\r\n\r\n')
        rig.clock.advance_ms(1001)
        assert wire.value().startswith(b'HTTP/1.1 504')
        assert rig.attempts[0].cancelled

    def test_deadline_before_send_is_not_run(self, rig):
        rig.upstreams.auto_confirm = False
        _, wire = rig.request(POST + b'Content-Length: 0\r\n\r\n')
        rig.clock.advance_ms(1001)
        assert b'figdoor-outcome: not-run' in wire.value()

    def test_time_that_the_body_took_counts_against_the_deadline(self, rig):
        """Guards against upstreams that get more time than the caller has."""
        head = POST + b'Figdoor-Deadline-Ms: 800\r\nContent-Length: 3\r\n\r\n'
        connection, wire = rig.request(head)
        rig.clock.advance_ms(500)
        connection.dataReceived(b'abc')
        headers = dict(rig.attempts[0].request.headers)
        assert int(headers[b'figdoor-deadline-ms']) <= 300
        rig.clock.advance_ms(301)
        assert wire.value().startswith(b'HTTP/1.1 504')

    def test_body_after_the_deadline_is_not_sent(self, rig):
        head = POST + b'Figdoor-Deadline-Ms: 800\r\nContent-Length: 3\r\n\r\n'
        connection, wire = rig.request(head)
        rig.clock.advance_ms(900)
        connection.dataReceived(b'abc')
        rig.clock.advance_ms(1)
        assert not rig.attempts
        assert b'figdoor-outcome: not-run' in wire.value()

    def test_wait_behind_another_request_counts_against_the_deadline(self, rig):
        connection, _ = rig.request(GET)
        connection.dataReceived(GET)
        rig.clock.advance_ms(400)
        rig.attempts[0].respond()
        headers = dict(rig.attempts[1].request.headers)
        assert int(headers[b'figdoor-deadline-ms']) <= 600

    @pytest.mark.parametrize('refused', [True, False])
    def test_attempt_without_connection_is_retried(
        self,
        rig,
        refused,
    ):
        rig.upstreams.auto_confirm = False
        _, wire = rig.request(POST + b'Content-Length: 0\r\n\r\n')
        rig.attempts[0].receiver.on_unsent(refused)
        assert len(rig.attempts) == 2
        rig.attempts[1].receiver.on_unsent(refused)
        assert b'figdoor-outcome: not-run' in wire.value()


class TestUpload:
    def test_large_body_is_read_once_request_is_being_sent(self, rig):
        connection, wire = rig.request(LARGE)
        assert wire.paused
        rig.attempts[0].request.body_source.resume_body()
        assert not wire.paused
        connection.dataReceived(b'b' * 100)
        assert rig.attempts[0].streamed_body == b'b' * 100
        assert rig.attempts[0].finished
        rig.attempts[0].respond()
        assert not wire.closed

    def test_slow_upstream_pauses_reading_from_caller(self, rig):
        _, wire = rig.request(LARGE)
        source = rig.attempts[0].request.body_source
        source.resume_body()
        source.pause_body()
        assert wire.paused

    def test_body_received_between_attempts_is_sent(self, rig):
        rig.upstreams.auto_confirm = False
        connection, _ = rig.request(LARGE)
        first = rig.attempts[0]
        first.request.body += b'buffered by transport'
        first.receiver.on_unsent(refused=True)
        second = rig.attempts[1].request
        assert second.body == b'a' * 200 + b'buffered by transport'

    def test_response_before_end_of_body_closes_connection(self, rig):
        connection, wire = rig.request(LARGE)
        rig.attempts[0].respond(413)
        assert b'connection: close' in wire.value()
        assert wire.half_closed
        assert not wire.paused
        connection.dataReceived(b'b' * 100)
        assert not rig.attempts[0].streamed_body

    def test_chunks_are_forwarded_as_they_arrive(self, rig):
        connection, _ = rig.request(CHUNKED + b'c8\r\n%b\r\n' % (b'a' * 200))
        attempt = rig.attempts[0]
        assert attempt.request.body_length is None
        connection.dataReceived(b'2\r\nbc\r\n0\r\nX-Trailer: 1\r\n\r\n')
        assert attempt.streamed_body == b'bc'
        assert attempt.finished


class EarlyHedge:
    """Starts a second attempt 10 ms after the first was sent."""

    def __init__(self, node):
        pass

    def hedge_ms(self, routed, upstream, sent_ms):
        return sent_ms + 10

    def accepts(self, upstream, now_ms):
        return True


class TestHedgedAttempt:
    def rig(self, monkeypatch):
        rig = FrontEndRig(monkeypatch)
        rule = EarlyHedge(rig.node)
        rig.front_end.dispatcher.hedge_rules = (rule,)
        connection, wire = rig.request()
        rig.clock.advance_ms(10)
        assert len(rig.attempts) == 2
        return rig, wire

    def test_first_response_cancels_other_attempt(self, monkeypatch):
        """Guards against a caller that gets parts of two responses."""
        rig, wire = self.rig(monkeypatch)
        first, second = rig.attempts
        second.respond(body=b'second')
        assert first.cancelled
        assert wire.value().endswith(b'second')
        assert wire.value().count(b'HTTP/1.1') == 1

    def test_hedge_delay_starts_once_connection_is_open(self, monkeypatch):
        """Guards against hedging only attempts on open connections."""
        rig = FrontEndRig(monkeypatch)
        rig.front_end.dispatcher.hedge_rules = (EarlyHedge(rig.node),)
        rig.upstreams.auto_confirm = False
        rig.request()
        rig.clock.advance_ms(5)
        assert rig.attempts[0].confirm()
        rig.clock.advance_ms(5)
        assert len(rig.attempts) == 1
        rig.clock.advance_ms(10)
        assert len(rig.attempts) == 2

    def test_disconnect_of_caller_cancels_both_attempts(self, monkeypatch):
        rig, _ = self.rig(monkeypatch)
        (connection,) = rig.front_end._connections
        connection.connectionLost()
        assert all(attempt.cancelled for attempt in rig.attempts)

    def test_loss_of_one_attempt_is_not_reported(self, monkeypatch):
        rig, wire = self.rig(monkeypatch)
        first, second = rig.attempts
        first.receiver.on_lost(connection_died=True)
        assert not wire.value()
        second.respond(body=b'second')
        assert wire.value().endswith(b'second')


class TestNotices:
    def test_words_of_an_upstream_are_published_though_it_shed_the_call(
        self, rig
    ):
        """Guards against a leaving upstream that gets the next call, too."""
        leaving = Recorder(rig.node, LeavingSeen)
        backoffs = Recorder(rig.node, BackoffRequested)
        rig.request()
        attempt = rig.attempts[0]
        head = ResponseHead(503, b'', [], 0, True, False, None, True, 500)
        attempt.receiver.on_head(head)
        attempt.receiver.on_complete()
        first = attempt.upstream.upstream_id
        assert [event.upstream for event in leaving.events] == [first]
        assert [event.duration_ms for event in backoffs.events] == [500]
        assert rig.attempts[1].upstream.upstream_id != first

"""Callers' connections: keep-alive, pipelining, limits and slow callers."""

import pytest
from wires import GET, HEAD

POST = b'POST /x HTTP/1.1\r\nHost: any.example\r\n'
EXPECT = b'Expect: 100-continue\r\n'
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


class TestCallerConnection:
    def test_connection_stays_open_between_requests(self, rig):
        connection, wire = rig.request()
        rig.attempts[0].respond()
        connection.dataReceived(GET)
        rig.attempts[1].respond()
        assert wire.value().count(b'HTTP/1.1 200') == 2
        assert not wire.closed

    def test_pipelined_requests_are_answered_one_after_the_other(self, rig):
        _, wire = rig.request(GET * 3)
        for number in range(3):
            assert len(rig.attempts) == number + 1
            rig.attempts[number].respond(body=b'answer-%d' % number)
        assert wire.value().index(b'answer-1') < wire.value().index(b'answer-2')

    def test_two_thousand_pipelined_refusals_need_no_recursion(self, rig):
        rig.node.tables = None
        connection, wire = rig.request(GET * 2000)
        assert wire.value().count(b'HTTP/1.1 503') == 2000
        assert not wire.closed

    def test_reading_stops_while_many_requests_wait(self, rig):
        _, wire = rig.request(GET * 20)
        assert wire.paused
        while any(True for one in rig.attempts if not one.cancelled):
            attempt = rig.attempts[-1]
            attempt.cancelled = True
            attempt.respond()
        assert len(rig.attempts) == 20
        assert not wire.paused

    def test_caller_that_goes_away_cancels_its_request(self, rig):
        connection, wire = rig.request()
        connection.connectionLost()
        assert rig.attempts[0].cancelled
        assert not rig.front_end.busy_count

    def test_next_request_waits_until_the_caller_has_read_the_answer(self, rig):
        connection, wire = rig.request(GET * 2)
        connection.pauseProducing()
        assert rig.attempts[0].paused
        rig.attempts[0].respond()
        assert len(rig.attempts) == 1
        connection.resumeProducing()
        assert len(rig.attempts) == 2

    def test_slow_caller_slows_the_upstream(self, rig):
        connection, _ = rig.request()
        connection.pauseProducing()
        assert rig.attempts[0].paused
        connection.resumeProducing()
        assert not rig.attempts[0].paused

    @pytest.mark.parametrize('request_line', [b'GET /x HTTP/1.0\r\n\r\n'])
    def test_http10_connection_closes_after_the_answer(self, rig, request_line):
        _, wire = rig.request(request_line)
        rig.attempts[0].respond()
        assert b'connection: close' in wire.value()
        assert wire.disconnecting

    def test_malformed_request_after_a_good_one_waits_its_turn(self, rig):
        _, wire = rig.request(GET + b'\0\0')
        rig.attempts[0].respond()
        text = wire.value()
        assert text.index(b'HTTP/1.1 200') < text.index(b'HTTP/1.1 400')
        assert wire.half_closed

    def test_hundreds_of_malformed_requests_leave_other_callers_alone(
        self,
        rig,
    ):
        connection, wire = rig.request()
        for _ in range(300):
            other, other_wire = rig.request(b'\0\r\n\r\n')
            assert other_wire.value().startswith(b'HTTP/1.1 400')
            other.connectionLost()
        rig.attempts[0].respond()
        assert wire.value().startswith(b'HTTP/1.1 200')

    def test_refused_caller_is_read_on_for_a_while_and_then_cut(self, rig):
        connection, wire = rig.request(b'\0')
        assert wire.half_closed
        connection.dataReceived(b'x' * 1000)
        assert not wire.aborted
        rig.after_ms(1000)
        assert wire.aborted


class TestLimits:
    def test_declared_body_above_the_limit_gets_413_and_no_continue(self, rig):
        head = POST + EXPECT + b'Content-Length: 1001\r\n\r\n'
        _, wire = rig.request(head)
        assert wire.value().startswith(b'HTTP/1.1 413')
        assert not rig.attempts

    def test_unknown_expectation_gets_417(self, rig):
        _, wire = rig.request(HEAD + b'Expect: magic\r\n\r\n')
        assert wire.value().startswith(b'HTTP/1.1 417')

    def test_chunked_body_that_grows_too_large_is_unknown_once_sent(self, rig):
        head = POST + b'Transfer-Encoding: chunked\r\n\r\n'
        connection, wire = rig.request(head + b'c8\r\n' + b'a' * 200 + b'\r\n')
        assert len(rig.attempts) == 1
        rig.attempts[0].request.body_source.resume_body()
        connection.dataReceived(b'400\r\n' + b'a' * 0x400 + b'\r\n')
        assert wire.value().startswith(b'HTTP/1.1 413')
        assert b'figdoor-outcome: unknown' in wire.value()
        assert rig.attempts[0].cancelled

    def test_malformed_body_is_not_run_before_anything_was_sent(self, rig):
        head = POST + b'Transfer-Encoding: chunked\r\n\r\n'
        _, wire = rig.request(head + b'1\r\na\r\nzz\r\n')
        assert wire.value().startswith(b'HTTP/1.1 400')
        assert b'figdoor-outcome: not-run' in wire.value()
        assert not rig.attempts

    def test_head_sent_byte_by_byte_runs_into_the_time_limit(self, rig):
        connection, wire = rig.request(HEAD[:1])
        for byte in HEAD[1:13]:
            rig.after_ms(1000)
            connection.dataReceived(bytes((byte,)))
        rig.after_ms(0)
        assert wire.value().startswith(b'HTTP/1.1 408')

    def test_body_that_stops_coming_runs_into_the_time_limit(self, rig):
        _, wire = rig.request(POST + b'Content-Length: 9\r\n\r\nabc')
        rig.after_ms(10_001)
        assert wire.value().startswith(b'HTTP/1.1 408')

    def test_head_that_has_begun_does_not_cut_the_answer_in_progress(self, rig):
        _, wire = rig.request(GET + HEAD)
        rig.attempts[0].respond(whole=False)
        rig.clock.advance_ms(900)
        for connection in rig.front_end._connections:
            connection.check_timeouts(rig.clock.now_ms() + 60_000)
        assert not wire.closed

    def test_caller_that_never_reads_is_cut(self, rig):
        connection, wire = rig.request()
        connection.pauseProducing()
        rig.attempts[0].respond()
        rig.after_ms(60_001)
        assert wire.aborted

    def test_silent_connection_is_closed(self, rig):
        _, wire = rig.connect()
        rig.after_ms(60_001)
        assert wire.closed


class TestExpectContinue:
    def test_interim_answer_invites_the_body(self, rig):
        head = POST + EXPECT + b'Content-Length: 2\r\n\r\n'
        connection, wire = rig.request(head)
        assert wire.value() == CONTINUE
        connection.dataReceived(b'ab')
        assert rig.attempts[0].request.body == b'ab'
        names = [name for name, _ in rig.attempts[0].request.headers]
        assert b'expect' not in names

    def test_pipelined_request_is_invited_in_its_turn(self, rig):
        head = POST + EXPECT + b'Content-Length: 2\r\n\r\n'
        connection, wire = rig.request(GET + head)
        assert CONTINUE not in wire.value()
        rig.attempts[0].respond()
        assert wire.value().endswith(CONTINUE)
        connection.dataReceived(b'ab')
        assert rig.attempts[1].request.body == b'ab'

    def test_body_that_came_uninvited_gets_no_interim_answer(self, rig):
        head = POST + EXPECT + b'Content-Length: 2\r\n\r\n'
        _, wire = rig.request(head + b'a')
        assert not wire.value()


class TestStop:
    def test_stop_waits_for_the_last_byte_of_a_slow_caller(self, rig):
        connection, wire = rig.request()
        stopped = []
        rig.front_end.close(lambda: stopped.append(True))
        rig.attempts[0].respond()
        assert wire.disconnecting
        assert not stopped
        connection.connectionLost()
        assert stopped

    def test_request_being_read_is_still_answered(self, rig):
        connection, wire = rig.request(GET[:20])
        rig.front_end.close(lambda: None)
        connection.dataReceived(GET[20:])
        rig.attempts[0].respond()
        assert b'HTTP/1.1 200' in wire.value()
        assert b'connection: close' in wire.value()

    def test_abort_ends_what_is_left_as_cancelled(self, rig):
        _, wire = rig.request()
        rig.front_end.close(lambda: None)
        rig.front_end.abort()
        assert wire.aborted
        assert rig.attempts[0].cancelled

"""Hedged calls, and failed responses that are discarded for a retry."""

import pytest
from store_fleet import StoreNode, route, store_tables, worker
from support import Recorder

from figdoor_kernel import (
    AttemptEnded,
    AttemptResult,
    AttemptState,
    Finish,
    Outcome,
    Send,
    Wait,
)


class SentCall:
    """A call whose first attempt is in flight."""

    def __init__(self, idempotent=True, **options):
        tables = store_tables(routes=[route(idempotent=idempotent)])
        workers = [worker(name) for name in 'abc']
        self.store_node = StoreNode(*workers, tables=tables, **options)
        for name in 'abc':
            self.store_node.set_load(name)
        # The retry budget only grows with requests.
        for _ in range(50):
            self.store_node.open()
        self.ended = Recorder(self.store_node.node, AttemptEnded)
        self.exchange = self.store_node.open()
        self.first = self.next_step()
        assert self.exchange.confirm_send(self.store_node.now_ms, 1)

    def next_step(self):
        """Return the next step; answer the probes that it waits for."""
        step = self.exchange.next_step(self.store_node.now_ms)
        while self.store_node.probed:
            self.store_node.answer_probes()
            step = self.exchange.next_step(self.store_node.now_ms)
        return step

    def step_after_ms(self, delay_ms):
        self.store_node.clock.advance_ms(delay_ms)
        return self.next_step()

    def end(self, state, number, **more):
        result = AttemptResult(state, **more)
        self.exchange.end(result, self.store_node.now_ms, number)


class TestHedge:
    """Guards against calls that wait for a slow upstream or run too often."""

    def test_late_response_starts_a_second_attempt_elsewhere(self):
        call = SentCall()
        assert isinstance(call.next_step(), Wait)
        second = call.step_after_ms(250)
        assert isinstance(second, Send)
        assert second.upstream is not call.first.upstream

    def test_hedged_call_gets_no_third_attempt(self):
        call = SentCall()
        call.step_after_ms(250)
        assert call.exchange.confirm_send(call.store_node.now_ms, 2)
        assert isinstance(call.step_after_ms(300), Wait)

    def test_non_idempotent_call_is_not_hedged(self):
        """Guards against a request, such as a deposit, that runs twice."""
        call = SentCall(idempotent=False)
        assert isinstance(call.step_after_ms(250), Wait)
        assert isinstance(call.step_after_ms(1500), Wait)

    @pytest.mark.parametrize('load', [{'running': 4}, {'slowness': 4}])
    def test_busy_upstreams_get_no_hedged_calls(self, load):
        """Guards against hedges that double the work of an overload."""
        call = SentCall()
        for name in 'abc':
            call.store_node.set_load(name, **load)
        assert isinstance(call.step_after_ms(250), Wait)
        assert isinstance(call.step_after_ms(100), Wait)

    @pytest.mark.parametrize('winner', [1, 2])
    def test_first_response_ends_the_other_attempt(self, winner):
        call = SentCall()
        call.step_after_ms(250)
        assert call.exchange.confirm_send(call.store_node.now_ms, 2)
        call.exchange.begin_response(winner)
        assert call.exchange.end_other_attempts(
            call.store_node.now_ms, winner
        ) == (3 - winner,)
        call.end(AttemptState.ANSWERED, winner)
        finish = call.next_step()
        assert finish == Finish(Outcome.ANSWERED)
        cancelled, answered = call.ended.events
        assert cancelled.cancelled
        assert answered.state is AttemptState.ANSWERED

    def test_loss_of_one_attempt_keeps_the_other_in_flight(self):
        call = SentCall()
        call.step_after_ms(250)
        assert call.exchange.confirm_send(call.store_node.now_ms, 2)
        call.end(AttemptState.LOST, 1, connection_died=True)
        assert isinstance(call.next_step(), Wait)

    def test_abandoned_call_with_a_lost_attempt_is_unknown(self):
        """Guards against a call reported as not run that may have run."""
        call = SentCall()
        call.step_after_ms(250)
        call.end(AttemptState.LOST, 1, connection_died=True)
        call.exchange.abandon(call.store_node.now_ms)
        assert call.next_step().outcome is Outcome.UNKNOWN


class TestFailedResponse:
    """Guards against calls that run twice because their response failed."""

    def test_failed_idempotent_call_is_retried(self):
        call = SentCall(retry_failed_answers=True)
        assert call.exchange.may_discard_response(call.store_node.now_ms, 1)
        call.end(AttemptState.LOST, 1, failed=True)
        assert isinstance(call.next_step(), Send)

    def test_failed_response_of_a_non_idempotent_call_is_kept(self):
        call = SentCall(idempotent=False, retry_failed_answers=True)
        assert not call.exchange.may_discard_response(call.store_node.now_ms, 1)

    def test_failed_response_is_kept_unless_the_option_is_set(self):
        assert not SentCall().exchange.may_discard_response(1000, 1)

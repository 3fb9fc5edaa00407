"""Exchanges of the dispatcher, with the installed decision plug-ins."""

import pytest
from automat import NoTransition
from support import (
    confirm_config,
    make_call,
    make_node,
    publish_tables,
    publish_vm_list,
    tables,
    upstream_vm,
)

from figdoor_kernel import (
    AttemptRecord,
    AttemptResult,
    AttemptState,
    Dispatcher,
    Finish,
    Outcome,
    Refusal,
    Send,
    Verdict,
    Wait,
    start_attempt,
)

LOST = AttemptResult(AttemptState.LOST, connection_died=True)


class ManualPermitSource:
    """A permit source that answers when the test calls ``answer``."""

    def request_permit(self, upstream, routed, wake, now_ms):
        self.answer = wake
        return now_ms + 100


class PermitRequiredRule:
    """A rule that requires a permit for every upstream."""

    def evaluate(self, upstream, routed, now_ms):
        return Verdict.NEEDS_PERMIT


class TestExchange:
    """Guards against calls that run twice and against false outcomes.

    A call that is not idempotent must not be sent again once it may have run,
    and a call that may have run must not be reported as not run.
    """

    def setup_method(self):
        self.node = make_node()
        self.clock = self.node.clock
        publish_vm_list(self.node, upstream_vm('w1'), upstream_vm('w2', 'z2'))
        publish_tables(self.node)
        self.dispatcher = Dispatcher(self.node)

    def open(self, **call):
        now_ms = self.clock.now_ms()
        return self.dispatcher.open(make_call(**call), now_ms, lambda: None)

    def send_next(self, exchange):
        step = exchange.next_step(self.clock.now_ms())
        assert isinstance(step, Send)
        assert exchange.confirm_send(self.clock.now_ms())
        return step

    def open_and_lose(self):
        exchange = self.open()
        self.send_next(exchange)
        exchange.end(LOST, self.clock.now_ms())
        return exchange

    def test_lost_non_idempotent_call_is_unknown_and_not_resent(self):
        exchange = self.open(operation='POST')
        self.send_next(exchange)
        exchange.end(LOST, self.clock.now_ms())
        step = exchange.next_step(self.clock.now_ms())
        assert step == Finish(Outcome.UNKNOWN)

    def test_lost_idempotent_call_goes_to_another_upstream(self):
        exchange = self.open()
        first = self.send_next(exchange)
        exchange.end(LOST, self.clock.now_ms())
        second = self.send_next(exchange)
        assert second.upstream is not first.upstream

    def test_lost_call_whose_retry_is_refused_is_unknown(self):
        exchange = self.open_and_lose()
        self.clock.advance_ms(self.node.options.lease_ms + 1)
        step = exchange.next_step(self.clock.now_ms())
        assert step.outcome is Outcome.UNKNOWN

    def test_lost_call_without_another_upstream_is_unknown(self):
        exchange = self.open_and_lose()
        publish_vm_list(self.node)
        step = exchange.next_step(self.clock.now_ms())
        assert step == Finish(Outcome.UNKNOWN, Refusal.NO_UPSTREAM)

    def test_lost_call_whose_retry_is_shed_is_unknown(self):
        exchange = self.open_and_lose()
        self.send_next(exchange)
        shed = AttemptResult(AttemptState.SHED, final=True)
        exchange.end(shed, self.clock.now_ms())
        step = exchange.next_step(self.clock.now_ms())
        assert step == Finish(Outcome.UNKNOWN)

    def test_lost_call_that_times_out_before_its_retry_is_unknown(self):
        exchange = self.open_and_lose()
        exchange.abandon(self.clock.now_ms())
        step = exchange.next_step(self.clock.now_ms())
        assert step == Finish(Outcome.UNKNOWN, Refusal.DEADLINE)

    def test_wake_up_during_an_attempt_starts_no_second_attempt(self):
        exchange = self.open(operation='POST')
        first = self.send_next(exchange)
        step = exchange.next_step(self.clock.now_ms())
        assert isinstance(step, Wait)
        self.clock.advance_ms(5000)
        later_step = exchange.next_step(self.clock.now_ms())
        assert later_step.until_ms > self.clock.now_ms()
        assert first.upstream.in_flight == 1
        assert exchange.attempts_made == 1

    def test_late_permit_does_not_wake_a_call_with_an_attempt_in_flight(self):
        wake_ups = []
        sources = [ManualPermitSource()]
        self.dispatcher.permit_sources = tuple(sources)
        self.dispatcher.candidate_rules = (PermitRequiredRule(),)
        exchange = self.dispatcher.open(
            make_call('POST'),
            self.clock.now_ms(),
            lambda: wake_ups.append(1),
        )
        assert isinstance(exchange.next_step(self.clock.now_ms()), Wait)
        sources[0].answer()
        assert wake_ups == [1]
        self.dispatcher.candidate_rules = ()
        assert isinstance(exchange.next_step(self.clock.now_ms()), Send)
        sources[0].answer()
        assert wake_ups == [1]

    def test_shed_non_idempotent_call_is_sent_elsewhere(self):
        exchange = self.open(operation='POST')
        self.send_next(exchange)
        shed = AttemptResult(AttemptState.SHED)
        exchange.end(shed, self.clock.now_ms())
        self.send_next(exchange)

    def test_zone_removed_between_selection_and_send_prevents_the_send(self):
        exchange = self.open(operation='POST')
        exchange.next_step(self.clock.now_ms())
        pools = '\n'.join(
            (
                'pool,service,availability_zones,slots,connections,'
                'cold_limit,probes_per_s',
                'work,work,,6,250,1,2',
            ),
        )
        publish_tables(self.node, tables(2, pools=pools))
        assert not exchange.confirm_send(self.clock.now_ms())
        step = exchange.next_step(self.clock.now_ms())
        assert step == Finish(Outcome.NOT_RUN, Refusal.NO_UPSTREAM)

    def test_lease_that_expires_in_a_pause_prevents_the_send(self):
        exchange = self.open(operation='POST', time_left_ms=60_000)
        exchange.next_step(self.clock.now_ms())
        self.clock.advance_ms(self.node.options.lease_ms + 1)
        assert not exchange.confirm_send(self.clock.now_ms())

    def test_attempt_counts_as_in_flight_until_it_ends(self):
        exchange = self.open()
        step = self.send_next(exchange)
        assert step.upstream.in_flight == 1
        exchange.begin_response()
        answered = AttemptResult(AttemptState.ANSWERED)
        exchange.end(answered, self.clock.now_ms())
        assert step.upstream.in_flight == 0

    def test_retries_stop_when_the_retry_budget_is_exhausted(self):
        sent = 0
        for _ in range(60):
            confirm_config(self.node)
            exchange = self.open()
            while isinstance(
                exchange.next_step(self.clock.now_ms()),
                Send,
            ):
                sent += 1
                assert exchange.confirm_send(self.clock.now_ms())
                exchange.end(LOST, self.clock.now_ms())
        burst, retry_ratio = 10, 0.2
        assert sent <= 60 + burst + 60 * retry_ratio


class TestAttemptMachine:
    """Guards against attempts that change state after their end.

    A call whose sent attempt became unsent would be reported as not run.
    """

    @pytest.mark.parametrize('method', ['send', 'lose', 'shed', 'complete'])
    def test_ended_attempt_rejects_further_input(self, method):
        attempt = start_attempt(AttemptRecord())
        attempt.fail_unsent()
        with pytest.raises(NoTransition):
            getattr(attempt, method)()

    def test_sent_attempt_cannot_become_unsent(self):
        attempt = start_attempt(AttemptRecord())
        attempt.send()
        with pytest.raises(NoTransition):
            attempt.fail_unsent()

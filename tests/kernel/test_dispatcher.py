"""The path of a call, with the installed decision plug-ins."""

import pytest
from automat import NoTransition
from support import (
    confirm,
    give_tables,
    give_vms,
    make_call,
    make_node,
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

NOTHING = AttemptResult(AttemptState.LOST, connection_died=True)


class AskLater:
    """A permit source whose answer the test gives."""

    def request_permit(self, upstream, routed, wake, now_ms):
        self.answer = wake
        return now_ms + 100


class AskFirst:
    """A rule under which no upstream may be used without a permit."""

    def evaluate(self, upstream, routed, now_ms):
        return Verdict.NEEDS_PERMIT


class TestExchange:
    def setup_method(self):
        self.node = make_node()
        self.clock = self.node.clock
        give_vms(self.node, upstream_vm('w1'), upstream_vm('w2', 'z2'))
        give_tables(self.node)
        self.dispatcher = Dispatcher(self.node)

    def open(self, **call):
        now_ms = self.clock.now_ms()
        return self.dispatcher.open(make_call(**call), now_ms, lambda: None)

    def begin(self, exchange):
        step = exchange.next_step(self.clock.now_ms())
        assert isinstance(step, Send)
        assert exchange.confirm_send(self.clock.now_ms())
        return step

    def lose_first(self):
        exchange = self.open()
        self.begin(exchange)
        exchange.end(NOTHING, self.clock.now_ms())
        return exchange

    def test_lost_non_idempotent_call_is_unknown_and_not_resent(self):
        exchange = self.open(operation='POST')
        self.begin(exchange)
        exchange.end(NOTHING, self.clock.now_ms())
        step = exchange.next_step(self.clock.now_ms())
        assert step == Finish(Outcome.UNKNOWN)

    def test_lost_idempotent_call_goes_to_another_upstream(self):
        exchange = self.open()
        first = self.begin(exchange)
        exchange.end(NOTHING, self.clock.now_ms())
        second = self.begin(exchange)
        assert second.upstream is not first.upstream

    def test_lost_call_is_never_told_not_run_when_its_retry_is_refused(self):
        exchange = self.lose_first()
        self.clock.advance_ms(self.node.options.lease_ms + 1)
        step = exchange.next_step(self.clock.now_ms())
        assert step.outcome is Outcome.UNKNOWN

    def test_no_upstream_left_after_a_loss_is_unknown(self):
        exchange = self.lose_first()
        give_vms(self.node)
        step = exchange.next_step(self.clock.now_ms())
        assert step == Finish(Outcome.UNKNOWN, Refusal.NO_UPSTREAM)

    def test_shed_after_a_loss_is_unknown(self):
        exchange = self.lose_first()
        self.begin(exchange)
        shed = AttemptResult(AttemptState.SHED, final=True)
        exchange.end(shed, self.clock.now_ms())
        step = exchange.next_step(self.clock.now_ms())
        assert step == Finish(Outcome.UNKNOWN)

    def test_deadline_between_attempts_after_a_loss_is_unknown(self):
        exchange = self.lose_first()
        exchange.abandon(self.clock.now_ms())
        step = exchange.next_step(self.clock.now_ms())
        assert step == Finish(Outcome.UNKNOWN, Refusal.DEADLINE)

    def test_late_permit_starts_no_second_attempt_beside_the_first(self):
        exchange = self.open(operation='POST')
        first = self.begin(exchange)
        step = exchange.next_step(self.clock.now_ms())
        assert isinstance(step, Wait)
        self.clock.advance_ms(5000)
        late = exchange.next_step(self.clock.now_ms())
        assert late.until_ms > self.clock.now_ms()
        assert first.upstream.in_flight == 1
        assert exchange.attempts_made == 1

    def test_late_permit_wakes_nobody_once_an_attempt_is_under_way(self):
        woken = []
        sources = [AskLater()]
        self.dispatcher.permit_sources = tuple(sources)
        self.dispatcher.candidate_rules = (AskFirst(),)
        exchange = self.dispatcher.open(
            make_call('POST'),
            self.clock.now_ms(),
            lambda: woken.append(1),
        )
        assert isinstance(exchange.next_step(self.clock.now_ms()), Wait)
        sources[0].answer()
        assert woken == [1]
        self.dispatcher.candidate_rules = ()
        assert isinstance(exchange.next_step(self.clock.now_ms()), Send)
        sources[0].answer()
        assert woken == [1]

    def test_shed_non_idempotent_call_is_sent_elsewhere(self):
        exchange = self.open(operation='POST')
        self.begin(exchange)
        shed = AttemptResult(AttemptState.SHED)
        exchange.end(shed, self.clock.now_ms())
        self.begin(exchange)

    def test_zone_taken_out_between_choice_and_send_stops_the_send(self):
        exchange = self.open(operation='POST')
        exchange.next_step(self.clock.now_ms())
        pools = '\n'.join(
            (
                'pool,service,availability_zones,slots,connections,'
                'cold_limit,probes_per_s',
                'work,work,,6,250,1,2',
            ),
        )
        give_tables(self.node, tables(2, pools=pools))
        assert not exchange.confirm_send(self.clock.now_ms())
        step = exchange.next_step(self.clock.now_ms())
        assert step == Finish(Outcome.NOT_RUN, Refusal.NO_UPSTREAM)

    def test_pause_before_the_send_stops_it_because_the_lease_ran_out(self):
        exchange = self.open(operation='POST', time_left_ms=60_000)
        exchange.next_step(self.clock.now_ms())
        self.clock.advance_ms(self.node.options.lease_ms + 1)
        assert not exchange.confirm_send(self.clock.now_ms())

    def test_attempt_counts_in_flight_until_it_ends(self):
        exchange = self.open()
        step = self.begin(exchange)
        assert step.upstream.in_flight == 1
        exchange.begin_response()
        answered = AttemptResult(AttemptState.ANSWERED)
        exchange.end(answered, self.clock.now_ms())
        assert step.upstream.in_flight == 0

    def test_retries_stop_when_the_budget_is_spent(self):
        sent = 0
        for _ in range(60):
            confirm(self.node)
            exchange = self.open()
            while isinstance(
                exchange.next_step(self.clock.now_ms()),
                Send,
            ):
                sent += 1
                assert exchange.confirm_send(self.clock.now_ms())
                exchange.end(NOTHING, self.clock.now_ms())
        burst, share = 10, 0.2
        assert sent <= 60 + burst + 60 * share


class TestAttemptLife:
    @pytest.mark.parametrize('name', ['send', 'lose', 'shed', 'complete'])
    def test_ended_attempt_takes_no_further_input(self, name):
        attempt = start_attempt(AttemptRecord())
        attempt.fail_unsent()
        with pytest.raises(NoTransition):
            getattr(attempt, name)()

    def test_sent_attempt_can_never_become_unsent(self):
        attempt = start_attempt(AttemptRecord())
        attempt.send()
        with pytest.raises(NoTransition):
            attempt.fail_unsent()

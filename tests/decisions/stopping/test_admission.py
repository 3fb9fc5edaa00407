"""Which calls a stopping node still accepts."""

from dataclasses import replace

import pytest
from store_fleet import StoreNode, route, store_tables, worker

from figdoor_kernel import (
    AttemptResult,
    AttemptState,
    Finish,
    Outcome,
    Refusal,
    Send,
    StopBegun,
    Wait,
)

GRACE_MS = 2500
LIMIT_MS = 5600


class Rig(StoreNode):
    """A node with two upstreams and one route, which a test stops.

    The route has an objective of 1 s and a deadline of 8 s.
    """

    def __init__(self):
        row = replace(route(objective_ms=1000), deadline_ms=8000)
        tables = store_tables(routes=[row])
        super().__init__(
            worker('a'), worker('b'), tables=tables, stop_limit_ms=LIMIT_MS
        )
        self.set_load('a')
        self.set_load('b')

    def stop(self):
        self.node.events.publish(StopBegun(GRACE_MS, self.now_ms))

    def open_at(self, now_ms, time_left_ms=10_000):
        self.advance_to(now_ms)
        return self.open(time_left_ms=time_left_ms)

    def advance_to(self, now_ms):
        self.clock.advance_ms(now_ms - self.now_ms)

    def step(self, exchange):
        """Return the first step that is not a wait for probes."""
        step = exchange.next_step(self.now_ms)
        while isinstance(step, Wait):
            self.answer_probes()
            self.clock.advance_ms(1)
            step = exchange.next_step(self.now_ms)
        return step

    def answer_calls(self, took_ms):
        """Answer calls before the stop that take this long."""
        for _ in range(4):
            exchange = self.open(time_left_ms=10_000)
            sent = self.step(exchange)
            assert exchange.confirm_send(self.now_ms, sent.attempt_number)
            self.clock.advance_ms(took_ms)
            exchange.begin_response(sent.attempt_number)
            answered = AttemptResult(AttemptState.ANSWERED)
            exchange.end(answered, self.now_ms, sent.attempt_number)


@pytest.fixture
def rig():
    return Rig()


class TestStopAdmission:
    """Guards against requests that are sent to an upstream and then aborted."""

    def test_call_that_may_outlast_the_stop_is_refused_as_not_run(self, rig):
        rig.stop()
        step = rig.step(rig.open_at(LIMIT_MS - 1900))
        assert isinstance(step, Finish)
        assert step.outcome is Outcome.NOT_RUN
        assert step.refusal is Refusal.STOPPING
        assert step.retry_after_ms is not None

    def test_late_call_is_served_if_its_deadline_is_before_the_abort(self, rig):
        """Guards against refusals of calls that the node could finish."""
        rig.stop()
        step = rig.step(rig.open_at(LIMIT_MS - 1900, time_left_ms=1800))
        assert isinstance(step, Send)

    def test_call_during_the_grace_period_is_served(self, rig):
        rig.stop()
        assert isinstance(rig.step(rig.open_at(GRACE_MS - 100)), Send)

    def test_call_of_a_slow_route_is_refused_during_the_grace_period(self, rig):
        """Guards against a call that is cut although others could run it."""
        rig.answer_calls(took_ms=3500)
        rig.stop()
        abort_ms = rig.now_ms + LIMIT_MS
        in_time = rig.step(rig.open_at(abort_ms - 3600))
        assert isinstance(in_time, Send)
        late = rig.step(rig.open_at(abort_ms - 3400))
        assert isinstance(late, Finish)
        assert late.refusal is Refusal.STOPPING

    def test_waiting_call_is_refused_once_too_little_time_is_left(self, rig):
        """Guards against a queued call that is sent right before the abort."""
        rig.set_load('a', running=6, waiting=6)
        rig.set_load('b', running=6, waiting=6)
        rig.stop()
        exchange = rig.open_at(GRACE_MS - 100)
        step = exchange.next_step(rig.now_ms)
        assert isinstance(step, Wait)
        rig.advance_to(LIMIT_MS - 900)
        step = exchange.next_step(rig.now_ms)
        assert isinstance(step, Finish)
        assert step.outcome is Outcome.NOT_RUN

    def test_call_is_not_sent_if_the_node_began_to_stop_meanwhile(self, rig):
        """Guards against a connection attempt or a pause before the send."""
        exchange = rig.open(time_left_ms=10_000)
        sent = rig.step(exchange)
        rig.stop()
        rig.advance_to(LIMIT_MS - 900)
        assert not exchange.confirm_send(rig.now_ms, sent.attempt_number)

    def test_running_node_refuses_nothing(self, rig):
        assert isinstance(rig.step(rig.open_at(1000)), Send)

"""A second attempt beside the first, and answers that are replaced."""

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


class Rig:
    """One call that was sent to a first upstream."""

    def __init__(self, idempotent=True, **options):
        tables = store_tables(routes=[route(idempotent=idempotent)])
        workers = [worker(name) for name in 'abc']
        self.rig = StoreNode(*workers, tables=tables, **options)
        for name in 'abc':
            self.rig.set_load(name)
        # The budget allows retries once there were requests.
        for _ in range(50):
            self.rig.open()
        self.ended = Recorder(self.rig.node, AttemptEnded)
        self.exchange = self.rig.open()
        self.first = self.place()
        assert self.exchange.confirm_send(self.rig.now_ms, 1)

    def place(self):
        """Return the next step that is no wait for probes."""
        step = self.exchange.next_step(self.rig.now_ms)
        while self.rig.probed:
            self.rig.answer_probes()
            step = self.exchange.next_step(self.rig.now_ms)
        return step

    def after_ms(self, delay_ms):
        self.rig.clock.advance_ms(delay_ms)
        return self.place()

    def end(self, state, number, **more):
        result = AttemptResult(state, **more)
        self.exchange.end(result, self.rig.now_ms, number)


class TestHedge:
    def test_late_answer_gets_a_second_attempt_elsewhere(self):
        """Guards against calls that stay with a slowed upstream."""
        rig = Rig()
        assert isinstance(rig.place(), Wait)
        second = rig.after_ms(250)
        assert isinstance(second, Send)
        assert second.upstream is not rig.first.upstream

    def test_there_is_one_second_attempt_only(self):
        rig = Rig()
        rig.after_ms(250)
        assert rig.exchange.confirm_send(rig.rig.now_ms, 2)
        assert isinstance(rig.after_ms(300), Wait)

    def test_non_idempotent_call_has_one_attempt(self):
        """Guards against a deposit that is registered twice."""
        rig = Rig(idempotent=False)
        assert isinstance(rig.after_ms(250), Wait)
        assert isinstance(rig.after_ms(1500), Wait)

    @pytest.mark.parametrize('busy', [{'running': 4}, {'slowness': 4}])
    def test_busy_upstreams_get_no_second_attempt(self, busy):
        """Guards against hedges that double the work of an overload."""
        rig = Rig()
        for name in 'abc':
            rig.rig.set_load(name, **busy)
        assert isinstance(rig.after_ms(250), Wait)
        assert isinstance(rig.after_ms(100), Wait)

    @pytest.mark.parametrize('winner', [1, 2])
    def test_first_answer_ends_the_other_attempt(self, winner):
        rig = Rig()
        rig.after_ms(250)
        assert rig.exchange.confirm_send(rig.rig.now_ms, 2)
        rig.exchange.begin_response(winner)
        assert rig.exchange.end_other_attempts(rig.rig.now_ms, winner) == (
            3 - winner,
        )
        rig.end(AttemptState.ANSWERED, winner)
        finish = rig.place()
        assert finish == Finish(Outcome.ANSWERED)
        dropped, answered = rig.ended.events
        assert dropped.cancelled
        assert answered.state is AttemptState.ANSWERED

    def test_loss_of_one_leaves_the_other(self):
        rig = Rig()
        rig.after_ms(250)
        assert rig.exchange.confirm_send(rig.rig.now_ms, 2)
        rig.end(AttemptState.LOST, 1, connection_died=True)
        assert isinstance(rig.place(), Wait)

    def test_call_that_was_lost_once_is_never_told_as_not_run(self):
        """Guards against a false promise after two attempts."""
        rig = Rig()
        rig.after_ms(250)
        rig.end(AttemptState.LOST, 1, connection_died=True)
        rig.exchange.abandon(rig.rig.now_ms)
        assert rig.place().outcome is Outcome.UNKNOWN


class TestFailedAnswer:
    def test_idempotent_call_may_be_tried_again(self):
        rig = Rig(retry_failed_answers=True)
        assert rig.exchange.may_discard_response(rig.rig.now_ms, 1)
        rig.end(AttemptState.LOST, 1, failed=True)
        assert isinstance(rig.place(), Send)

    def test_non_idempotent_call_keeps_its_answer(self):
        rig = Rig(idempotent=False, retry_failed_answers=True)
        assert not rig.exchange.may_discard_response(rig.rig.now_ms, 1)

    def test_answer_is_kept_unless_asked_for(self):
        assert not Rig().exchange.may_discard_response(1000, 1)

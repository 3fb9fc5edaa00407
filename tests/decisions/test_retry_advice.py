"""When refused callers come back."""

from store_fleet import StoreNode, worker

from figdoor_kernel import (
    AttemptResult,
    AttemptState,
    Extension,
    Outcome,
    Refusal,
)


class TestSpreadAdvice:
    def times_ms(self, refusal, count=400):
        rig = StoreNode(worker('a'))
        advice = rig.node.part(Extension.RETRY_ADVICE, 'spread')
        routed = rig.open().routed
        return [
            advice.retry_after_ms(refusal, routed, rig.now_ms)
            for _ in range(count)
        ]

    def test_refused_callers_do_not_come_back_as_one_wave(self):
        """Guards against a second overload made of all that were refused."""
        times_ms = self.times_ms(Refusal.OVERLOAD)
        tenth_ms = (max(times_ms) - min(times_ms)) / 10
        busiest = max(
            sum(start <= one < start + tenth_ms for one in times_ms)
            for start in times_ms
        )
        assert busiest <= 2 * len(times_ms) / 10

    def test_returning_call_can_still_meet_its_objective(self):
        assert max(self.times_ms(Refusal.OVERLOAD)) <= 0.4 * 400

    def test_call_that_was_shed_comes_back_at_once(self):
        """A service that sheds half of its calls has room for another try."""
        assert max(self.times_ms(None)) <= 0.05 * 400

    def test_shed_call_is_told_when_to_come_back(self):
        rig = StoreNode(worker('a'))
        rig.set_load('a')
        exchange = rig.open()
        rig.next_step(exchange)
        assert exchange.confirm_send(rig.now_ms)
        shed = AttemptResult(AttemptState.SHED)
        exchange.end(shed, rig.now_ms)
        finish = exchange.next_step(rig.now_ms)
        while not hasattr(finish, 'outcome'):
            rig.clock.advance_ms(20)
            finish = exchange.next_step(rig.now_ms)
        assert finish.outcome is Outcome.NOT_RUN
        assert finish.retry_after_ms is not None

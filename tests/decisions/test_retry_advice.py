"""The advice when a refused caller should retry."""

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
        store_node = StoreNode(worker('a'))
        advice = store_node.node.part(Extension.RETRY_ADVICE, 'spread')
        routed = store_node.open().routed
        return [
            advice.retry_after_ms(refusal, routed, store_node.now_ms)
            for _ in range(count)
        ]

    def test_retries_of_refused_callers_are_spread(self):
        """Guards against a second overload by retries at the same time."""
        times_ms = self.times_ms(Refusal.OVERLOAD)
        tenth_ms = (max(times_ms) - min(times_ms)) / 10
        busiest = max(
            sum(
                start_ms <= time_ms < start_ms + tenth_ms
                for time_ms in times_ms
            )
            for start_ms in times_ms
        )
        assert busiest <= 2 * len(times_ms) / 10

    def test_refused_call_can_meet_its_objective_when_retried(self):
        assert max(self.times_ms(Refusal.OVERLOAD)) <= 0.4 * 400

    def test_shed_call_is_retried_almost_at_once(self):
        """Guards against long delays while only a part of the calls is shed.

        A service that sheds half of its calls has capacity for a retry.
        """
        assert max(self.times_ms(None)) <= 0.05 * 400

    def test_shed_call_has_a_retry_time(self):
        store_node = StoreNode(worker('a'))
        store_node.set_load('a')
        exchange = store_node.open()
        store_node.next_step(exchange)
        assert exchange.confirm_send(store_node.now_ms)
        shed = AttemptResult(AttemptState.SHED)
        exchange.end(shed, store_node.now_ms)
        finish = exchange.next_step(store_node.now_ms)
        while not hasattr(finish, 'outcome'):
            store_node.clock.advance_ms(20)
            finish = exchange.next_step(store_node.now_ms)
        assert finish.outcome is Outcome.NOT_RUN
        assert finish.retry_after_ms is not None

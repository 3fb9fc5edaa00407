"""The setting ``quarantine_deaths``: crashes before a quarantine."""

import pytest
from store_fleet import StoreNode, worker

from figdoor_kernel import AttemptResult, AttemptState, Finish, Refusal, Send


def lose_answers(store_node, fingerprint):
    """Run one call whose connections all break; return its last step."""
    exchange = store_node.open(fingerprint=fingerprint)
    step = exchange.next_step(store_node.now_ms)
    while not isinstance(step, Finish):
        if isinstance(step, Send):
            exchange.confirm_send(store_node.now_ms)
            lost = AttemptResult(AttemptState.LOST, connection_died=True)
            exchange.end(lost, store_node.now_ms)
        else:
            store_node.answer_probes()
            store_node.clock.advance_ms(1)
        step = exchange.next_step(store_node.now_ms)
    return step


class TestQuarantine:
    @pytest.mark.parametrize('deaths', [2, 3])
    def test_request_is_refused_after_the_set_number_of_crashes(self, deaths):
        """Guards against refusals of harmless requests after lost answers.

        An answer that is lost with its connection looks like a crash.
        """
        store_node = StoreNode(
            *(worker(f'w{index}') for index in range(8)),
            quarantine_deaths=deaths,
            retry_budget_burst=0,
            retry_budget_percent=0,
        )
        for index in range(8):
            store_node.set_load(f'w{index}')
        refusals = [
            lose_answers(store_node, 7).refusal for _ in range(deaths + 1)
        ]
        assert refusals[:deaths] == [None] * deaths
        assert refusals[deaths] is Refusal.QUARANTINED

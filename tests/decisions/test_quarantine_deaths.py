"""Requests whose answers are lost are no requests that kill."""

import pytest
from store_fleet import StoreNode, worker

from figdoor_kernel import AttemptResult, AttemptState, Finish, Refusal, Send


def lose(rig, fingerprint):
    """Play one call whose connections all die; return how it ended."""
    exchange = rig.open(fingerprint=fingerprint)
    step = exchange.next_step(rig.now_ms)
    while not isinstance(step, Finish):
        if isinstance(step, Send):
            exchange.confirm_send(rig.now_ms)
            died = AttemptResult(AttemptState.LOST, connection_died=True)
            exchange.end(died, rig.now_ms)
        else:
            rig.answer_probes()
            rig.clock.advance_ms(1)
        step = exchange.next_step(rig.now_ms)
    return step


class TestQuarantine:
    @pytest.mark.parametrize('deaths', [2, 3])
    def test_request_is_refused_after_as_many_deaths_as_set(self, deaths):
        """Guards against innocents that are refused after two lost answers."""
        rig = StoreNode(
            *(worker(f'w{index}') for index in range(8)),
            quarantine_deaths=deaths,
            retry_budget_burst=0,
            retry_budget_percent=0,
        )
        for index in range(8):
            rig.set_load(f'w{index}')
        refusals = [lose(rig, 7).refusal for _ in range(deaths + 1)]
        assert refusals[:deaths] == [None] * deaths
        assert refusals[deaths] is Refusal.QUARANTINED

"""Placing calls by probes that are sent for them."""

import pytest
from store_fleet import StoreNode, worker

from figdoor_kernel import (
    AttemptResult,
    AttemptState,
    Finish,
    Outcome,
    Refusal,
    Send,
    Wait,
)


class TestPlacement:
    def test_fastest_of_the_probed_is_chosen(self):
        """Guards against placement by reports from before a slowdown."""
        rig = StoreNode(worker('a'), worker('b'), worker('c'))
        rig.set_load('a', slowness=4)
        rig.set_load('b', slowness=1)
        rig.set_load('c', slowness=4)
        assert rig.next_step().upstream.upstream_id == 'b'

    def test_call_waits_for_the_probes(self):
        rig = StoreNode(worker('a'))
        step = rig.open().next_step(rig.now_ms)
        assert isinstance(step, Wait)
        assert rig.probed == ['a']

    def test_silent_upstream_gets_nothing(self):
        """Guards against requests on connections that were dropped."""
        rig = StoreNode(worker('a'), worker('b'))
        rig.set_load('b')
        exchange = rig.open()
        exchange.next_step(rig.now_ms)
        rig.answer_probes()
        rig.clock.advance_ms(12)
        step = exchange.next_step(rig.now_ms)
        assert isinstance(step, Send)
        assert step.upstream.upstream_id == 'b'

    def test_full_upstream_is_left_out(self):
        """Upstreams reset or drop what their queue cannot hold."""
        rig = StoreNode(worker('a'), worker('b'))
        rig.set_load('a', running=6, waiting=2)
        rig.set_load('b', running=5, slowness=4)
        exchange = rig.open()
        rig.next_step(exchange)
        rig.answer_probes()
        step = exchange.next_step(rig.now_ms)
        assert step.upstream.upstream_id == 'b'

    def test_other_zone_is_asked_before_a_slow_upstream_is_taken(self):
        rig = StoreNode(
            worker('a'), worker('b'), worker('c'), worker('d', 'z2')
        )
        for name in 'abc':
            rig.set_load(name, slowness=4)
        rig.set_load('d')
        exchange = rig.open()
        first = rig.next_step(exchange)
        assert isinstance(first, Wait)
        exchange.next_step(rig.now_ms)
        rig.answer_probes()
        step = exchange.next_step(rig.now_ms)
        assert step.upstream.upstream_id == 'd'

    def test_own_zone_is_kept_while_it_is_good_enough(self):
        """Guards against transfer between zones that serves nobody sooner."""
        rig = StoreNode(worker('a'), worker('b', 'z2'), worker('c', 'z2'))
        rig.set_load('a', slowness=1.5)
        rig.set_load('b')
        rig.set_load('c')
        assert rig.next_step().upstream.upstream_id == 'a'

    def test_cold_upstream_is_left_to_others(self):
        rig = StoreNode(worker('a'), worker('b'))
        rig.set_load('a', cold_ms=3000)
        rig.set_load('b', slowness=3)
        exchange = rig.open()
        step = rig.next_step(exchange)
        while isinstance(step, Wait):
            rig.answer_probes()
            step = exchange.next_step(rig.now_ms)
        assert step.upstream.upstream_id == 'b'


class TestFull:
    def test_call_is_refused_once_waiting_is_no_use(self):
        """Guards against calls held until their time is up."""
        rig = StoreNode(worker('a'))
        rig.set_load('a', running=6, waiting=6)
        exchange = rig.open()
        step = exchange.next_step(rig.now_ms)
        for _ in range(100):
            if isinstance(step, Finish):
                break
            rig.answer_probes()
            rig.clock.advance_ms(max(1, step.until_ms - rig.now_ms))
            step = exchange.next_step(rig.now_ms)
        assert step.outcome is Outcome.NOT_RUN
        assert step.refusal is Refusal.OVERLOAD
        assert rig.now_ms <= 1000 + 0.25 * 400 + 40
        assert 0 < step.retry_after_ms <= 400

    def test_call_is_placed_as_soon_as_there_is_room(self):
        rig = StoreNode(worker('a'))
        rig.set_load('a', running=6, waiting=6)
        exchange = rig.open()
        exchange.next_step(rig.now_ms)
        rig.answer_probes()
        exchange.next_step(rig.now_ms)
        rig.set_load('a', running=2)
        rig.clock.advance_ms(50)
        step = exchange.next_step(rig.now_ms)
        assert isinstance(step, Wait)
        rig.answer_probes()
        assert isinstance(exchange.next_step(rig.now_ms), Send)

    def test_call_without_candidates_does_not_spin(self):
        """Guards against a loop that asks again without a pause.

        The one upstream was tried, so that there is nothing left to probe.
        """
        rig = StoreNode(worker('a'))
        rig.set_load('a')
        exchange = rig.open()
        rig.next_step(exchange)
        assert exchange.confirm_send(rig.now_ms)
        exchange.end(AttemptResult(AttemptState.SHED), rig.now_ms)
        pauses_ms = []
        step = exchange.next_step(rig.now_ms)
        while isinstance(step, Wait) and len(pauses_ms) < 50:
            pauses_ms.append(step.until_ms - rig.now_ms)
            rig.clock.advance_ms(step.until_ms - rig.now_ms)
            step = exchange.next_step(rig.now_ms)
        assert isinstance(step, Finish)
        assert sum(pause_ms <= 0 for pause_ms in pauses_ms) <= 1


class TestProbes:
    def test_fresh_answer_is_not_asked_for_again(self):
        rig = StoreNode(worker('a'))
        rig.set_load('a')
        rig.next_step()
        rig.next_step()
        assert not rig.probed

    @pytest.mark.parametrize('workers', [5, 20])
    def test_number_of_probes_does_not_grow_with_the_service(self, workers):
        rig = StoreNode(*(worker(f'w{index}') for index in range(workers)))
        rig.open().next_step(rig.now_ms)
        assert len(rig.probed) == 4

    def test_small_zone_is_made_up_for_by_others(self):
        rig = StoreNode(worker('a'), *(worker(f'w{i}', 'z2') for i in range(9)))
        rig.open().next_step(rig.now_ms)
        assert len(rig.probed) == 3

"""Retries that a service bears from the whole fleet."""

from store_fleet import StoreNode, route, store_tables, worker

from figdoor_kernel import (
    AttemptResult,
    AttemptState,
    Finish,
    Splitter,
    Wait,
)


class Storm:
    """A node all of whose attempts are lost after they were sent."""

    def __init__(self, **fields):
        tables = store_tables(routes=[route(**fields)])
        self.rig = StoreNode(
            *(worker(f'w{index}') for index in range(6)), tables=tables
        )
        for index in range(6):
            self.rig.set_load(f'w{index}')
        self.sent = 0

    def call(self, is_sent=True):
        """Play one call; return how often it was sent."""
        rig = self.rig
        exchange = rig.open()
        sent = 0
        step = exchange.next_step(rig.now_ms)
        while not isinstance(step, Finish):
            if isinstance(step, Wait):
                rig.answer_probes()
                rig.clock.advance_ms(1)
            elif is_sent and exchange.confirm_send(rig.now_ms):
                sent += 1
                exchange.end(AttemptResult(AttemptState.LOST), rig.now_ms)
            else:
                exchange.end(
                    AttemptResult(AttemptState.UNSENT_FAILURE), rig.now_ms
                )
            step = exchange.next_step(rig.now_ms)
        return sent


class TestFleetBudget:
    def test_retries_stay_within_the_share(self):
        """Guards against retries that multiply an overload."""
        storm = Storm()
        sent = sum(storm.call() for _ in range(100))
        assert 100 < sent <= 100 + 0.2 * 100 + 60 / 32

    def test_route_bounds_the_upstreams_of_one_call(self):
        storm = Storm(max_attempts=2)
        for _ in range(50):
            assert storm.call() <= 2

    def test_window_forgets(self):
        """Guards against retries that are saved up over a quiet time."""
        storm = Storm()
        for _ in range(100):
            storm.call()
        storm.rig.clock.advance_ms(20_000)
        # A fifth of the new calls, and this node's part of the burst.
        sent = sum(storm.call() for _ in range(5))
        assert sent <= 5 + 0.2 * 5 + 60 / 32

    def test_non_idempotent_call_is_never_sent_twice(self):
        """Guards against a deposit that is registered twice."""
        storm = Storm(idempotent=False)
        assert {storm.call() for _ in range(50)} == {1}

    def test_unsent_attempts_are_bounded_and_cost_nothing(self):
        storm = Storm()
        assert storm.call(is_sent=False) == 0


class TestSplit:
    def test_parts_get_their_weights(self):
        """Guards against a part of a split that gets too much at a time."""
        splitter = Splitter()
        split = (('work', 90.0), ('other', 10.0))
        picked = [splitter.pick(route(split=split)) for _ in range(100)]
        assert picked.count('other') == 10
        assert 'other' in picked[:10]

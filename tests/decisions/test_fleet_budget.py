"""The fleet-wide retry budget of a service, and traffic splits."""

from store_fleet import StoreNode, route, store_tables, worker

from figdoor_kernel import (
    AttemptResult,
    AttemptState,
    Finish,
    Splitter,
    Wait,
)


class FailingNode:
    """A node whose attempts all fail, by default after they were sent."""

    def __init__(self, **fields):
        tables = store_tables(routes=[route(**fields)])
        self.store_node = StoreNode(
            *(worker(f'w{index}') for index in range(6)), tables=tables
        )
        for index in range(6):
            self.store_node.set_load(f'w{index}')
        self.sent = 0

    def call(self, is_sent=True):
        """Run one call; return how often it was sent."""
        store_node = self.store_node
        exchange = store_node.open()
        sent = 0
        step = exchange.next_step(store_node.now_ms)
        while not isinstance(step, Finish):
            if isinstance(step, Wait):
                store_node.answer_probes()
                store_node.clock.advance_ms(1)
            elif is_sent and exchange.confirm_send(store_node.now_ms):
                sent += 1
                exchange.end(
                    AttemptResult(AttemptState.LOST), store_node.now_ms
                )
            else:
                exchange.end(
                    AttemptResult(AttemptState.UNSENT_FAILURE),
                    store_node.now_ms,
                )
            step = exchange.next_step(store_node.now_ms)
        return sent


class TestFleetBudget:
    def test_retries_stay_within_the_share_of_the_node(self):
        """Guards against retries that make an overload worse."""
        node = FailingNode()
        sent = sum(node.call() for _ in range(100))
        assert 100 < sent <= 100 + 0.2 * 100 + 60 / 32

    def test_call_is_sent_no_more_often_than_the_route_allows(self):
        node = FailingNode(max_attempts=2)
        for _ in range(50):
            assert node.call() <= 2

    def test_requests_before_the_window_do_not_count(self):
        """Guards against a budget that accumulates while there are no calls."""
        node = FailingNode()
        for _ in range(100):
            node.call()
        node.store_node.clock.advance_ms(20_000)
        # A fifth of the new calls, and this node's share of the burst.
        sent = sum(node.call() for _ in range(5))
        assert sent <= 5 + 0.2 * 5 + 60 / 32

    def test_non_idempotent_call_is_never_sent_twice(self):
        """Guards against effects of a request that happen twice."""
        node = FailingNode(idempotent=False)
        assert {node.call() for _ in range(50)} == {1}

    def test_unsent_attempts_are_limited(self):
        node = FailingNode()
        assert node.call(is_sent=False) == 0


class TestSplit:
    def test_pools_are_picked_by_their_weights(self):
        """Guards against pools that get their share in long runs of calls."""
        splitter = Splitter()
        split = (('work', 90.0), ('other', 10.0))
        picked = [splitter.pick(route(split=split)) for _ in range(100)]
        assert picked.count('other') == 10
        assert 'other' in picked[:10]

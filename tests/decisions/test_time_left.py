"""No attempt with less time left than a route usually takes."""

from support import (
    confirm_config,
    make_call,
    make_node,
    publish_tables,
    publish_vm_list,
    upstream_vm,
)

from figdoor_kernel import (
    AttemptResult,
    AttemptState,
    Dispatcher,
    Finish,
    Outcome,
    Refusal,
    Send,
)


class TestTimeLeftRule:
    def setup_method(self):
        self.node = make_node()
        publish_vm_list(self.node, upstream_vm('w1'), upstream_vm('w2', 'z2'))
        publish_tables(self.node)
        self.dispatcher = Dispatcher(self.node)

    def open(self, **call):
        confirm_config(self.node)
        now_ms = self.node.clock.now_ms()
        return self.dispatcher.open(make_call(**call), now_ms, lambda: None)

    def step(self, exchange):
        return exchange.next_step(self.node.clock.now_ms())

    def answer(self, latency_ms, failed=False):
        exchange = self.open()
        self.step(exchange)
        assert exchange.confirm_send(self.node.clock.now_ms())
        self.node.clock.advance_ms(latency_ms)
        exchange.begin_response()
        answered = AttemptResult(AttemptState.ANSWERED, failed=failed)
        exchange.end(answered, self.node.clock.now_ms())

    def learn(self, **answer):
        for _ in range(16):
            self.answer(40, **answer)

    def test_less_than_the_usual_time_is_refused_as_not_run(self):
        self.learn()
        step = self.step(self.open(time_left_ms=30))
        assert step == Finish(Outcome.NOT_RUN, Refusal.DEADLINE)

    def test_more_than_the_usual_time_is_sent(self):
        self.learn()
        assert isinstance(self.step(self.open(time_left_ms=60)), Send)

    def test_time_that_passed_before_the_send_counts(self):
        self.learn()
        exchange = self.open(time_left_ms=60)
        self.step(exchange)
        self.node.clock.advance_ms(30)
        assert not exchange.confirm_send(self.node.clock.now_ms())

    def test_slow_route_is_tried_again_after_a_while(self):
        # The failure: refused attempts bring no answers, so that the route
        # would stay refused for good.
        self.learn()
        self.node.clock.advance_ms(1500)
        assert isinstance(self.step(self.open(time_left_ms=30)), Send)

    def test_failed_answers_teach_nothing(self):
        self.learn(failed=True)
        assert isinstance(self.step(self.open(time_left_ms=30)), Send)

    def test_routes_are_apart(self):
        self.learn()
        exchange = self.open(operation='POST', time_left_ms=30)
        assert isinstance(self.step(exchange), Send)

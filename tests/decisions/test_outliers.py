"""Upstreams that fail fast or refuse connections are left alone."""

import pytest
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
    Extension,
    Verdict,
)

FAILED = AttemptResult(AttemptState.ANSWERED, failed=True)
DIED = AttemptResult(AttemptState.LOST, connection_died=True)
ANSWERED = AttemptResult(AttemptState.ANSWERED)
REFUSED = AttemptResult(AttemptState.UNSENT_FAILURE, connection_died=True)


class RuleSubject:
    """Ends attempts at upstreams and asks one rule what it thinks."""

    def setup_method(self):
        self.start(10)

    def start(self, upstreams):
        self.node = make_node()
        names = [f'w{index}' for index in range(upstreams)]
        publish_vm_list(self.node, *(upstream_vm(name) for name in names))
        publish_tables(self.node)
        self.dispatcher = Dispatcher(self.node)
        self.rule = self.node.part(Extension.CANDIDATE_RULE, self.rule_name)

    def see(self, name, *results):
        """End one attempt at the named upstream for each result."""
        upstream = self.node.fleet.find(name)
        self.dispatcher.chooser = self
        for seen in results:
            confirm_config(self.node)
            now_ms = self.node.clock.now_ms()
            self.choose = lambda *_: upstream
            exchange = self.dispatcher.open(make_call(), now_ms, lambda: None)
            exchange.next_step(now_ms)
            if seen.state is not AttemptState.UNSENT_FAILURE:
                assert exchange.confirm_send(now_ms)
            if seen.state is AttemptState.ANSWERED:
                exchange.begin_response()
            exchange.end(seen, now_ms)
        self.routed = exchange.routed

    def denied(self):
        now_ms = self.node.clock.now_ms()
        return {
            upstream.upstream_id
            for upstream in self.node.fleet.upstreams()
            if self.rule.evaluate(upstream, self.routed, now_ms) is Verdict.DENY
        }

    def lasts_ms(self):
        """Let time pass until none is denied; return how long it took."""
        lasted_ms = 0
        while self.denied():
            self.node.clock.advance_ms(100)
            lasted_ms += 100
        return lasted_ms


class TestOutlierEjection(RuleSubject):
    rule_name = 'outlier-ejection'

    def test_upstream_that_fails_twice_in_a_row_is_ejected(self):
        # The failure: it alone was below its caps and got most calls.
        self.see('w1', FAILED)
        assert not self.denied()
        self.see('w1', FAILED)
        assert self.denied() == {'w1'}

    @pytest.mark.parametrize(
        'seen',
        [
            ANSWERED,
            AttemptResult(AttemptState.SHED),
            AttemptResult(AttemptState.LOST),
            DIED,
        ],
    )
    def test_other_ends_eject_nothing(self, seen):
        # The failure: a shed, or a caller that left, counted as a failure.
        self.see('w1', seen, seen, seen)
        assert not self.denied()

    def test_answer_in_between_ejects_nothing(self):
        # The failure: one caller's faulty requests ejected every upstream.
        self.see('w1', FAILED, ANSWERED, FAILED, ANSWERED)
        assert not self.denied()

    def test_time_out_of_use_doubles_and_is_bounded(self):
        self.see('w1', FAILED)
        lasted_ms = []
        for _ in range(6):
            self.see('w1', FAILED)
            lasted_ms.append(self.lasts_ms())
        assert lasted_ms == [100, 200, 400, 800, 1000, 1000]

    @pytest.mark.parametrize(
        ('upstreams', 'most'),
        [(1, 0), (2, 1), (5, 1), (10, 2)],
    )
    def test_share_of_the_pool_is_bounded(self, upstreams, most):
        # The failure: requests that fail everywhere left no upstream.
        self.start(upstreams)
        for index in range(upstreams):
            self.see(f'w{index}', FAILED, FAILED)
        assert len(self.denied()) == most


class TestRefusedConnections(RuleSubject):
    """A dead upstream is tried now and then, not with each call."""

    rule_name = 'refused-connections'

    def test_backoff_doubles_up_to_a_second(self):
        lasted_ms = []
        for _ in range(6):
            self.see('w1', REFUSED)
            assert self.denied() == {'w1'}
            lasted_ms.append(self.lasts_ms())
        assert lasted_ms == [100, 200, 400, 800, 1000, 1000]

    def test_attempts_refused_together_count_once(self):
        self.see('w1', REFUSED, REFUSED, REFUSED)
        assert self.lasts_ms() == 100

    def test_answer_ends_the_backoff(self):
        self.see('w1', REFUSED)
        self.lasts_ms()
        self.see('w1', ANSWERED, REFUSED)
        assert self.lasts_ms() == 100

    def test_attempt_that_was_not_sent_for_other_reasons_is_ignored(self):
        self.see('w1', AttemptResult(AttemptState.UNSENT_FAILURE))
        assert not self.denied()

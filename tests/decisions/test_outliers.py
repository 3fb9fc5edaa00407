"""Ejection of failing upstreams and back-off from refused connections."""

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


class RuleTest:
    """Ends attempts at upstreams and evaluates one rule."""

    def setup_method(self):
        self.start(10)

    def start(self, upstreams):
        self.node = make_node()
        names = [f'w{index}' for index in range(upstreams)]
        publish_vm_list(self.node, *(upstream_vm(name) for name in names))
        publish_tables(self.node)
        self.dispatcher = Dispatcher(self.node)
        self.rule = self.node.part(Extension.CANDIDATE_RULE, self.rule_name)

    def end_attempts(self, name, *results):
        """End one attempt at the named upstream for each result."""
        upstream = self.node.fleet.find(name)
        self.dispatcher.chooser = self
        for result in results:
            confirm_config(self.node)
            now_ms = self.node.clock.now_ms()
            self.choose = lambda *_: upstream
            exchange = self.dispatcher.open(make_call(), now_ms, lambda: None)
            exchange.next_step(now_ms)
            if result.state is not AttemptState.UNSENT_FAILURE:
                assert exchange.confirm_send(now_ms)
            if result.state is AttemptState.ANSWERED:
                exchange.begin_response()
            exchange.end(result, now_ms)
        self.routed = exchange.routed

    def denied_ids(self):
        now_ms = self.node.clock.now_ms()
        return {
            upstream.upstream_id
            for upstream in self.node.fleet.upstreams()
            if self.rule.evaluate(upstream, self.routed, now_ms) is Verdict.DENY
        }

    def time_until_allowed_ms(self):
        """Advance the clock until no upstream is denied; return the time."""
        denied_ms = 0
        while self.denied_ids():
            self.node.clock.advance_ms(100)
            denied_ms += 100
        return denied_ms


class TestOutlierEjection(RuleTest):
    rule_name = 'outlier-ejection'

    def test_upstream_that_fails_twice_in_a_row_is_ejected(self):
        """Guards against a failing upstream that gets most of the calls.

        An upstream that fails fast is always below its caps.
        """
        self.end_attempts('w1', FAILED)
        assert not self.denied_ids()
        self.end_attempts('w1', FAILED)
        assert self.denied_ids() == {'w1'}

    @pytest.mark.parametrize(
        'result',
        [
            ANSWERED,
            AttemptResult(AttemptState.SHED),
            AttemptResult(AttemptState.LOST),
            DIED,
        ],
    )
    def test_upstream_with_other_results_is_not_ejected(self, result):
        """Guards against sheds and disconnected callers counted as failures."""
        self.end_attempts('w1', result, result, result)
        assert not self.denied_ids()

    def test_upstream_that_answers_between_failures_is_not_ejected(self):
        """Guards against one caller's invalid requests that eject upstreams."""
        self.end_attempts('w1', FAILED, ANSWERED, FAILED, ANSWERED)
        assert not self.denied_ids()

    def test_ejection_time_doubles_up_to_a_second(self):
        self.end_attempts('w1', FAILED)
        denied_ms = []
        for _ in range(6):
            self.end_attempts('w1', FAILED)
            denied_ms.append(self.time_until_allowed_ms())
        assert denied_ms == [100, 200, 400, 800, 1000, 1000]

    @pytest.mark.parametrize(
        ('upstreams', 'limit'),
        [(1, 0), (2, 1), (5, 1), (10, 2)],
    )
    def test_number_of_ejected_upstreams_is_limited(self, upstreams, limit):
        """Guards against a pool without upstreams when all requests fail."""
        self.start(upstreams)
        for index in range(upstreams):
            self.end_attempts(f'w{index}', FAILED, FAILED)
        assert len(self.denied_ids()) == limit


class TestRefusedConnections(RuleTest):
    """Guards against calls that all try an upstream that is down."""

    rule_name = 'refused-connections'

    def test_backoff_doubles_up_to_a_second(self):
        denied_ms = []
        for _ in range(6):
            self.end_attempts('w1', REFUSED)
            assert self.denied_ids() == {'w1'}
            denied_ms.append(self.time_until_allowed_ms())
        assert denied_ms == [100, 200, 400, 800, 1000, 1000]

    def test_attempts_refused_during_a_backoff_do_not_extend_it(self):
        self.end_attempts('w1', REFUSED, REFUSED, REFUSED)
        assert self.time_until_allowed_ms() == 100

    def test_answer_resets_the_backoff(self):
        self.end_attempts('w1', REFUSED)
        self.time_until_allowed_ms()
        self.end_attempts('w1', ANSWERED, REFUSED)
        assert self.time_until_allowed_ms() == 100

    def test_attempt_unsent_for_other_reasons_starts_no_backoff(self):
        self.end_attempts('w1', AttemptResult(AttemptState.UNSENT_FAILURE))
        assert not self.denied_ids()

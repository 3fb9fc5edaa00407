"""Ejection of upstreams that fail fast."""

import pytest
from support import (
    confirm,
    give_tables,
    give_vms,
    make_call,
    make_node,
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


class TestOutlierEjection:
    def setup_method(self):
        self.start(10)

    def start(self, upstreams):
        self.node = make_node()
        names = [f'w{index}' for index in range(upstreams)]
        give_vms(self.node, *(upstream_vm(name) for name in names))
        give_tables(self.node)
        self.dispatcher = Dispatcher(self.node)
        self.rule = self.node.part(
            Extension.CANDIDATE_RULE,
            'outlier-ejection',
        )

    def see(self, name, *results):
        """End one attempt at the named upstream for each result."""
        upstream = self.node.fleet.find(name)
        self.dispatcher.chooser = self
        for seen in results:
            confirm(self.node)
            now_ms = self.node.clock.now_ms()
            self.choose = lambda *_: upstream
            exchange = self.dispatcher.open(make_call(), now_ms, lambda: None)
            exchange.next_step(now_ms)
            assert exchange.confirm_send(now_ms)
            if seen.state is AttemptState.ANSWERED:
                exchange.begin_answer()
            exchange.end(seen, now_ms)
        self.routed = exchange.routed

    def ejected(self):
        now_ms = self.node.clock.now_ms()
        return {
            upstream.upstream_id
            for upstream in self.node.fleet.upstreams()
            if self.rule.judge(upstream, self.routed, now_ms) is Verdict.DENY
        }

    def test_upstream_that_fails_twice_in_a_row_is_ejected(self):
        # The failure: it alone was below its caps and got most calls.
        self.see('w1', FAILED)
        assert not self.ejected()
        self.see('w1', FAILED)
        assert self.ejected() == {'w1'}

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
        assert not self.ejected()

    def test_answer_in_between_ejects_nothing(self):
        # The failure: one caller's faulty requests ejected every upstream.
        self.see('w1', FAILED, ANSWERED, FAILED, ANSWERED)
        assert not self.ejected()

    def test_time_out_of_use_doubles_and_is_bounded(self):
        self.see('w1', FAILED)
        lasted = []
        for _ in range(6):
            self.see('w1', FAILED)
            lasted.append(0)
            while self.ejected():
                self.node.clock.advance_ms(100)
                lasted[-1] += 100
        assert lasted == [100, 200, 400, 800, 1000, 1000]

    @pytest.mark.parametrize(
        ('upstreams', 'most'),
        [(1, 0), (2, 1), (5, 1), (10, 2)],
    )
    def test_share_of_the_pool_is_bounded(self, upstreams, most):
        # The failure: requests that fail everywhere left no upstream.
        self.start(upstreams)
        for index in range(upstreams):
            self.see(f'w{index}', FAILED, FAILED)
        assert len(self.ejected()) == most


class TestRefusedConnections:
    """A dead upstream is tried now and then, not with each call."""

    def setup_method(self):
        self.node = make_node()
        give_vms(self.node, upstream_vm('w1'), upstream_vm('w2'))
        give_tables(self.node)
        self.dispatcher = Dispatcher(self.node)
        self.dispatcher.chooser = self
        self.rule = self.node.part(
            Extension.CANDIDATE_RULE,
            'refused-connections',
        )

    def choose(self, *_):
        return self.node.fleet.find('w1')

    def attempt(self, *results):
        """Begin an attempt for each result, then end them."""
        confirm(self.node)
        now_ms = self.node.clock.now_ms()
        begun = [
            self.dispatcher.open(make_call(), now_ms, lambda: None)
            for _ in results
        ]
        for exchange, ended in zip(begun, results, strict=True):
            exchange.next_step(now_ms)
            if ended.state is not AttemptState.UNSENT_FAILURE:
                exchange.confirm_send(now_ms)
                exchange.begin_answer()
        for exchange, ended in zip(begun, results, strict=True):
            exchange.end(ended, now_ms)
        self.routed = begun[0].routed

    def waits_ms(self):
        """Let time pass until the upstream is allowed; return how long."""
        waited_ms = 0
        while (
            self.rule.judge(
                self.choose(),
                self.routed,
                self.node.clock.now_ms(),
            )
            is not Verdict.ALLOW
        ):
            self.node.clock.advance_ms(50)
            waited_ms += 50
        return waited_ms

    def test_backoff_doubles_up_to_a_second(self):
        waited_ms = []
        for _ in range(6):
            self.attempt(REFUSED)
            waited_ms.append(self.waits_ms())
        # The clock goes in steps of 50 ms.
        expected_ms = [100, 200, 400, 800, 1000, 1000]
        assert waited_ms == pytest.approx(expected_ms, abs=50)

    def test_attempts_refused_together_count_once(self):
        self.attempt(REFUSED, REFUSED, REFUSED)
        assert self.waits_ms() == 100

    def test_answer_ends_the_backoff(self):
        self.attempt(REFUSED)
        self.waits_ms()
        self.attempt(REFUSED, ANSWERED)
        assert not self.waits_ms()

    def test_attempt_that_was_not_sent_for_other_reasons_is_ignored(self):
        self.attempt(AttemptResult(AttemptState.UNSENT_FAILURE))
        assert not self.waits_ms()

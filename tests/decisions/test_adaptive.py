"""The adaptive chooser and its estimates.

Guards against calls that are sent to failing, slow or loaded upstreams while
better ones are idle.
"""

from itertools import count

from support import (
    make_call,
    make_node,
    publish_tables,
    publish_vm_list,
    upstream_vm,
)

from figdoor_kernel import (
    AttemptEnded,
    AttemptStarted,
    AttemptState,
    Dispatcher,
    Extension,
    LoadReport,
    ReportSeen,
)


class TestAdaptive:
    def setup_method(self):
        self.node = make_node(chooser='adaptive')
        self.clock = self.node.clock
        self.chooser = self.node.part(Extension.CHOOSER, 'adaptive')
        self.attempts = count(1)
        self.set_upstreams('w1', 'w2', 'w3')

    def set_upstreams(self, *names, zone='z1'):
        publish_vm_list(self.node, *(upstream_vm(name, zone) for name in names))
        publish_tables(self.node)
        exchange = Dispatcher(self.node).open(make_call(), 0, lambda: None)
        self.routed = exchange.routed

    def begin(self, name):
        attempt = next(self.attempts)
        now_ms = self.clock.now_ms()
        started = AttemptStarted(attempt, name, self.routed, 1, now_ms)
        self.node.events.publish(started)
        return attempt

    def end(self, name, attempt, latency_ms, **fields):
        fields = {
            'state': AttemptState.ANSWERED,
            'failed': False,
            'connection_died': False,
            **fields,
        }
        self.node.events.publish(
            AttemptEnded(
                attempt,
                name,
                self.routed,
                latency_ms=latency_ms,
                now_ms=self.clock.now_ms(),
                **fields,
            ),
        )

    def answer(self, name, latency_ms, **fields):
        attempt = self.begin(name)
        self.clock.advance_ms(latency_ms)
        self.end(name, attempt, latency_ms, **fields)

    def choices(self, times=60):
        candidates = self.node.fleet.of_service('work')
        now_ms = self.clock.now_ms()
        return {
            self.chooser.choose(candidates, self.routed, now_ms).upstream_id
            for _ in range(times)
        }

    def test_upstream_that_fails_fast_is_not_chosen(self):
        for name in ('w1', 'w2'):
            self.answer(name, 20)
        self.answer('w3', 1, failed=True)
        assert 'w3' not in self.choices()

    def test_upstream_whose_connection_died_is_not_chosen(self):
        for name in ('w1', 'w2'):
            self.answer(name, 20)
        self.answer('w3', 1, connection_died=True, state=AttemptState.LOST)
        assert 'w3' not in self.choices()

    def test_upstream_that_answers_slowly_is_not_chosen(self):
        for name in ('w1', 'w2'):
            self.answer(name, 10)
        self.answer('w3', 100)
        assert 'w3' not in self.choices()

    def test_upstream_with_own_requests_in_flight_is_not_chosen(self):
        self.begin('w1')
        self.begin('w2')
        assert self.choices() == {'w3'}

    def test_upstream_with_load_from_other_nodes_is_not_chosen(self):
        for name, running in (('w1', 5), ('w2', 5), ('w3', 0)):
            report = LoadReport('i', running)
            self.node.events.publish(ReportSeen(name, report, 0))
        assert self.choices() == {'w3'}

    def test_stale_report_of_load_is_ignored(self):
        self.node.events.publish(ReportSeen('w1', LoadReport('i', 6), 0))
        self.clock.advance_ms(300)
        assert self.choices() <= {'w1', 'w2', 'w3'}
        assert 'w1' in {choice for _ in range(20) for choice in self.choices()}

    def test_idle_upstreams_share_the_load(self):
        """Guards against nodes that all select the same idle upstream."""
        self.set_upstreams(*(f'w{index}' for index in range(20)))
        assert len(self.choices(200)) > 10

    def test_upstream_that_does_not_answer_is_not_chosen(self):
        """Guards against requests to a slow upstream until it answers."""
        for name in ('w1', 'w2'):
            self.answer(name, 10)
        self.begin('w3')
        for _ in range(6):
            self.answer('w1', 10)
        assert 'w3' not in self.choices()

    def test_failed_upstream_is_chosen_again_after_a_second(self):
        self.answer('w3', 1, failed=True)
        self.clock.advance_ms(1000)
        assert 'w3' in self.choices()

    def test_remote_zone_is_chosen_only_while_the_local_one_is_loaded(self):
        publish_vm_list(
            self.node,
            upstream_vm('local', 'z1'),
            upstream_vm('remote', 'z2'),
        )
        assert self.choices() == {'local'}
        for _ in range(5):
            self.begin('local')
        assert self.choices() == {'remote'}

    def test_upstream_without_a_fresh_report_is_not_chosen(self):
        """Guards against nodes that each send a request to a slow upstream."""
        for name in ('w1', 'w2'):
            report = LoadReport('i', 3)
            self.node.events.publish(ReportSeen(name, report, 0))
        assert self.choices() == {'w1', 'w2'}

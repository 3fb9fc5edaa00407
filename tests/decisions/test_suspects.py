"""Poison requests: how requests are suspected, quarantined and cleared."""

from cold_fleet import ANSWERED
from network import Network
from support import (
    confirm_config,
    make_call,
    node_vm,
    publish_tables,
    publish_vm_list,
    upstream_vm,
)

from figdoor_kernel import (
    AttemptResult,
    AttemptState,
    ConnectionsClosed,
    Dispatcher,
    Extension,
    LoadReport,
    Outcome,
    Refusal,
    Send,
)

CRASHED = AttemptResult(AttemptState.LOST, connection_died=True)
POISON, POPULAR = 13, 7
WORKERS = [f'w{number}' for number in range(1, 9)]


class TwoNodes:
    """Sends requests through two nodes and lets upstreams crash."""

    def setup_method(self):
        self.network = Network('n1', 'n2', direct_updates=True)
        self.dispatchers = {}
        for name, node in self.network.nodes.items():
            publish_vm_list(node, *map(upstream_vm, WORKERS), node_vm('n1'))
            publish_tables(node)
            self.dispatchers[name] = Dispatcher(node)

    def now_ms(self):
        return self.network.clock.now_ms()

    def advance_ms(self, total_ms):
        self.network.advance_ms(total_ms)
        for node in self.network.nodes.values():
            confirm_config(node)

    def open(self, fingerprint=POISON, node_id='n1', operation='POST'):
        call = make_call(operation, fingerprint=fingerprint)
        dispatcher = self.dispatchers[node_id]
        return dispatcher.open(call, self.now_ms(), lambda: None)

    def begin(self, *arguments, **named):
        """Return an exchange whose request was sent, or its refusal."""
        exchange = self.open(*arguments, **named)
        step = exchange.next_step(self.now_ms())
        if not isinstance(step, Send):
            assert step.outcome is Outcome.NOT_RUN
            return step.refusal
        assert exchange.confirm_send(self.now_ms())
        exchange.upstream = step.upstream.upstream_id
        return exchange

    def end(self, exchange, result=CRASHED, instance=None):
        if result is ANSWERED:
            if instance:
                report = LoadReport(instance, 1)
                exchange.report(report, self.now_ms())
            exchange.begin_response()
        exchange.end(result, self.now_ms())
        self.advance_ms(5)

    def crash(self, count=1, **named):
        """Let a request crash ``count`` different upstreams in sequence."""
        crashed = set()
        while len(crashed) < count:
            exchange = self.begin(**named)
            if exchange.upstream in crashed:
                exchange.abandon(self.now_ms())
                continue
            crashed.add(exchange.upstream)
            self.end(exchange)

    def is_refused(self, *arguments, **named):
        exchange = self.begin(*arguments, **named)
        if exchange is Refusal.QUARANTINED:
            return True
        exchange.abandon(self.now_ms())
        return False


class TestQuarantine(TwoNodes):
    """Guards against a poison request that crashes all upstreams in turn."""

    def test_request_is_refused_after_crashes_on_two_upstreams(self):
        self.crash()
        assert not self.is_refused()
        self.crash(2, fingerprint=POISON + 1)
        assert not self.is_refused()
        assert self.is_refused(POISON + 1)
        assert not self.is_refused(POPULAR)

    def test_other_nodes_refuse_the_request_too(self):
        self.crash(2)
        assert self.is_refused(node_id='n2')

    def test_crashes_seen_by_different_nodes_add_up(self):
        self.crash(node_id='n1')
        # The first crash may be on the same upstream as that of the other node.
        for _ in range(2):
            if not self.is_refused(node_id='n2'):
                self.crash(node_id='n2')
        assert self.is_refused(node_id='n2')
        assert self.is_refused(node_id='n1')

    def test_retries_of_an_idempotent_request_crash_at_most_two(self):
        exchange = self.begin(operation='GET')
        crashes = 0
        for _ in range(len(WORKERS)):
            exchange.end(CRASHED, self.now_ms())
            crashes += 1
            step = exchange.next_step(self.now_ms())
            if not isinstance(step, Send):
                break
            assert exchange.confirm_send(self.now_ms())
        assert crashes == 2
        assert step.refusal is Refusal.QUARANTINED

    def test_attempt_selected_before_the_quarantine_is_not_sent(self):
        exchange = self.open()
        exchange.next_step(self.now_ms())
        self.crash(2)
        assert not exchange.confirm_send(self.now_ms())

    def test_several_attempts_at_one_crash_count_once(self):
        exchanges = [self.begin() for _ in range(40)]
        upstream = exchanges[0].upstream
        for exchange in exchanges:
            if exchange.upstream == upstream:
                exchange.end(CRASHED, self.now_ms())
            else:
                exchange.abandon(self.now_ms())
        assert not self.is_refused()

    def test_crash_of_a_restarted_upstream_counts_again(self):
        node = self.network.nodes['n1']
        publish_vm_list(node, upstream_vm('w1'))
        self.crash()
        node.events.publish(ConnectionsClosed('w1', self.now_ms()))
        self.advance_ms(1100)
        self.crash()
        assert self.is_refused()

    def test_quarantine_expires(self):
        self.crash(2)
        self.advance_ms(59_000)
        assert self.is_refused()
        self.advance_ms(1100)
        assert not self.is_refused()


class TestClearance(TwoNodes):
    """Guards against harmless requests that stay in quarantine."""

    def test_full_answer_between_crashes_clears_the_request(self):
        for _ in range(5):
            self.crash()
            self.end(self.begin(), ANSWERED, 'i1')
        assert not self.is_refused()

    def test_answer_to_an_attempt_in_flight_ends_the_quarantine(self):
        exchange = self.begin()
        self.crash(2)
        assert self.is_refused()
        self.end(exchange, ANSWERED)
        assert not self.is_refused()

    def test_popular_request_at_many_crashes_is_served(self):
        """Guards against quarantine of a popular request by others' crashes.

        Every second, another poison request crashes two upstreams while the
        popular request is in flight there.
        """
        refused = served = 0
        for second in range(20):
            for _ in range(10):
                popular = self.begin(POPULAR)
                if popular is Refusal.QUARANTINED:
                    refused += 1
                    continue
                served += 1
                self.end(popular, ANSWERED)
                self.advance_ms(50)
            bystanders = [self.begin(POPULAR) for _ in range(2)]
            self.crash(2, fingerprint=100 + second)
            for bystander in bystanders:
                if bystander is not Refusal.QUARANTINED:
                    self.end(bystander, CRASHED)
        assert refused == 0
        assert served == 200

    def test_answered_request_at_three_crashes_is_soon_allowed_again(self):
        self.end(self.begin(POPULAR), ANSWERED)
        self.crash(3, fingerprint=POPULAR)
        assert self.is_refused(POPULAR)
        self.advance_ms(1100)
        self.end(self.begin(POPULAR), ANSWERED)
        assert not self.is_refused(POPULAR)

    def test_answered_request_that_became_poison_is_tried_less_often(
        self,
    ):
        self.end(self.begin(POPULAR), ANSWERED)
        crashes = 0
        for _ in range(1200):
            exchange = self.begin(POPULAR)
            if exchange is not Refusal.QUARANTINED:
                self.end(exchange)
                crashes += 1
            self.advance_ms(50)
        assert crashes <= 12


class TestMemory(TwoNodes):
    def test_number_of_suspects_is_bounded(self):
        for fingerprint in range(10_050):
            exchange = self.begin(fingerprint)
            exchange.end(CRASHED, self.now_ms())
            # Delivers the messages, since queued ones slow down all later ones.
            self.advance_ms(1)
        for node in self.network.nodes.values():
            suspects = node.part(Extension.SERVICE, 'suspects')
            assert len(suspects) == 10_000

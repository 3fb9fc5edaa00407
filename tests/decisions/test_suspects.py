"""Poison requests: who is suspect, quarantined and cleared."""

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

DIED = AttemptResult(AttemptState.LOST, connection_died=True)
POISON, POPULAR = 13, 7
WORKERS = [f'w{number}' for number in range(1, 9)]


class Subject:
    def setup_method(self):
        self.network = Network('n1', 'n2', direct_news=True)
        self.dispatchers = {}
        for name, node in self.network.nodes.items():
            publish_vm_list(node, *map(upstream_vm, WORKERS), node_vm('n1'))
            publish_tables(node)
            self.dispatchers[name] = Dispatcher(node)

    def now_ms(self):
        return self.network.clock.now_ms()

    def pass_ms(self, total_ms):
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

    def end(self, exchange, result=DIED, instance=None):
        if result is ANSWERED:
            if instance:
                report = LoadReport(instance, 1)
                exchange.report(report, self.now_ms())
            exchange.begin_response()
        exchange.end(result, self.now_ms())
        self.pass_ms(5)

    def kill(self, count=1, **named):
        """Let a request kill upstreams one after another."""
        used = set()
        while len(used) < count:
            exchange = self.begin(**named)
            if exchange.upstream in used:
                exchange.abandon(self.now_ms())
                continue
            used.add(exchange.upstream)
            self.end(exchange)

    def is_refused(self, *arguments, **named):
        begun = self.begin(*arguments, **named)
        if begun is Refusal.QUARANTINED:
            return True
        begun.abandon(self.now_ms())
        return False


class TestQuarantine(Subject):
    def test_second_death_on_another_upstream_stops_the_request(self):
        self.kill()
        assert not self.is_refused()
        self.kill(2, fingerprint=POISON + 1)
        assert not self.is_refused()
        assert self.is_refused(POISON + 1)
        assert not self.is_refused(POPULAR)

    def test_peers_are_told(self):
        self.kill(2)
        assert self.is_refused(node_id='n2')

    def test_deaths_seen_by_different_nodes_add_up(self):
        self.kill(node_id='n1')
        # The first may hit the upstream that has just died at the other node.
        for _ in range(2):
            if not self.is_refused(node_id='n2'):
                self.kill(node_id='n2')
        assert self.is_refused(node_id='n2')
        assert self.is_refused(node_id='n1')

    def test_retry_of_an_idempotent_request_kills_at_most_two(self):
        exchange = self.begin(operation='GET')
        deaths = 0
        for _ in range(len(WORKERS)):
            exchange.end(DIED, self.now_ms())
            deaths += 1
            step = exchange.next_step(self.now_ms())
            if not isinstance(step, Send):
                break
            assert exchange.confirm_send(self.now_ms())
        assert deaths == 2
        assert step.refusal is Refusal.QUARANTINED

    def test_copy_chosen_before_the_quarantine_is_not_sent(self):
        exchange = self.open()
        exchange.next_step(self.now_ms())
        self.kill(2)
        assert not exchange.confirm_send(self.now_ms())

    def test_copies_at_one_death_count_once(self):
        copies = [self.begin() for _ in range(40)]
        upstream = copies[0].upstream
        for exchange in copies:
            if exchange.upstream == upstream:
                exchange.end(DIED, self.now_ms())
            else:
                exchange.abandon(self.now_ms())
        assert not self.is_refused()

    def test_restarted_upstream_counts_as_another_instance(self):
        node = self.network.nodes['n1']
        publish_vm_list(node, upstream_vm('w1'))
        self.kill()
        node.events.publish(ConnectionsClosed('w1', self.now_ms()))
        self.pass_ms(1100)
        self.kill()
        assert self.is_refused()

    def test_quarantine_expires(self):
        self.kill(2)
        self.pass_ms(59_000)
        assert self.is_refused()
        self.pass_ms(1100)
        assert not self.is_refused()


class TestExoneration(Subject):
    def test_full_answer_between_deaths_clears(self):
        for _ in range(5):
            self.kill()
            self.end(self.begin(), ANSWERED, 'i1')
        assert not self.is_refused()

    def test_copy_in_flight_that_is_answered_lifts_the_quarantine(self):
        copy = self.begin()
        self.kill(2)
        assert self.is_refused()
        self.end(copy, ANSWERED)
        assert not self.is_refused()

    def test_popular_request_at_many_deaths_is_served(self):
        """A new poison request kills two upstreams every second."""
        refused = served = 0
        for second in range(20):
            for _ in range(10):
                popular = self.begin(POPULAR)
                if popular is Refusal.QUARANTINED:
                    refused += 1
                    continue
                served += 1
                self.end(popular, ANSWERED)
                self.pass_ms(50)
            bystanders = [self.begin(POPULAR) for _ in range(2)]
            self.kill(2, fingerprint=100 + second)
            for bystander in bystanders:
                if bystander is not Refusal.QUARANTINED:
                    self.end(bystander, DIED)
        assert refused == 0
        assert served == 200

    def test_answered_request_caught_in_three_deaths_comes_back_soon(self):
        self.end(self.begin(POPULAR), ANSWERED)
        self.kill(3, fingerprint=POPULAR)
        assert self.is_refused(POPULAR)
        self.pass_ms(1100)
        self.end(self.begin(POPULAR), ANSWERED)
        assert not self.is_refused(POPULAR)

    def test_answered_request_that_turned_lethal_is_tried_ever_more_rarely(
        self,
    ):
        self.end(self.begin(POPULAR), ANSWERED)
        deaths = 0
        for _ in range(1200):
            begun = self.begin(POPULAR)
            if begun is not Refusal.QUARANTINED:
                self.end(begun)
                deaths += 1
            self.pass_ms(50)
        assert deaths <= 12


class TestMemory(Subject):
    def test_number_of_suspects_is_bounded(self):
        for fingerprint in range(10_050):
            exchange = self.begin(fingerprint)
            exchange.end(DIED, self.now_ms())
            # Each message that waits makes all later ones slower.
            self.pass_ms(1)
        for node in self.network.nodes.values():
            suspects = node.part(Extension.SERVICE, 'suspects')
            assert len(suspects) == 10_000

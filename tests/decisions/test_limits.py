"""In-flight caps, subsets, connection limits and tenant shares."""

from hypothesis import given
from hypothesis import strategies as st
from support import (
    POOLS,
    confirm_config,
    make_call,
    make_node,
    node_vm,
    publish_tables,
    publish_vm_list,
    tables,
    upstream_vm,
)

from figdoor_decisions.limits import (
    choose_subset,
    connection_cap,
    in_flight_cap,
)
from figdoor_kernel import (
    AttemptResult,
    AttemptState,
    Dispatcher,
    Extension,
    Finish,
    LoadReport,
    Outcome,
    Refusal,
    ReportSeen,
    Send,
)

SHED = AttemptResult(AttemptState.SHED)
COUNT = st.integers(min_value=1, max_value=700)


class Caller:
    """Opens calls on one node and keeps them in flight."""

    def __init__(self, *vms, node_id='n1', pools=POOLS, **options):
        self.node = make_node(node_id, **options)
        publish_vm_list(self.node, *vms)
        publish_tables(self.node, tables(pools=pools))
        self.dispatcher = Dispatcher(self.node)
        self.limit = self.node.part(Extension.CANDIDATE_RULE, 'in-flight')

    def now_ms(self):
        return self.node.clock.now_ms()

    def open(self, **call):
        now_ms = self.now_ms()
        confirm_config(self.node)
        exchange = self.dispatcher.open(make_call(**call), now_ms, lambda: None)
        step = exchange.next_step(now_ms)
        if isinstance(step, Send):
            assert exchange.confirm_send(now_ms)
        return exchange, step

    def refusal(self, **call):
        _, step = self.open(**call)
        return step.refusal if isinstance(step, Finish) else None

    def answer(self, exchange):
        exchange.begin_response()
        exchange.end(AttemptResult(AttemptState.ANSWERED), self.now_ms())


class TestBounds:
    """Guards against nodes that together overload an upstream."""

    @given(slots=COUNT, nodes=COUNT)
    def test_sum_of_in_flight_caps_is_bounded(self, slots, nodes):
        total = nodes * in_flight_cap(slots, nodes)
        assert total <= 2 * max(nodes, slots)

    @given(connections=COUNT, nodes=COUNT)
    def test_sum_of_connections_is_bounded(self, connections, nodes):
        total = nodes * connection_cap(connections, nodes)
        assert total <= max(nodes, connections)

    def test_nodes_together_stay_within_the_bound(self):
        nodes = [node_vm(f'n{index}') for index in range(5)]
        sent = 0
        for vm in nodes:
            caller = Caller(upstream_vm('w1'), *nodes, node_id=vm.vm_id)
            while caller.refusal() is None:
                sent += 1
        assert 6 <= sent <= 12


class TestInFlightLimit:
    def setup_method(self):
        self.caller = Caller(upstream_vm('w1'), node_vm('n1'))
        self.upstream = self.caller.node.fleet.find('w1')

    def cap(self):
        return self.caller.limit.cap(self.upstream, 6)

    def test_call_at_the_cap_is_refused_as_not_run(self):
        for _ in range(self.cap()):
            assert self.caller.refusal() is None
        _, step = self.caller.open()
        assert step == Finish(Outcome.NOT_RUN, Refusal.NO_UPSTREAM)

    def test_shed_lowers_the_cap_once_per_window(self):
        opened = [self.caller.open()[0] for _ in range(4)]
        for exchange in opened:
            exchange.end(SHED, self.caller.now_ms())
        assert self.cap() == 11

    def test_sheds_do_not_lower_the_cap_below_two(self):
        """Guards against calls that go to failing upstreams at a cap of 1."""
        for _ in range(10):
            exchange, _ = self.caller.open()
            exchange.end(SHED, self.caller.now_ms())
            self.caller.node.clock.advance_ms(150)
        assert self.cap() == 2

    def test_answers_after_a_window_without_sheds_raise_the_cap(self):
        first, _ = self.caller.open()
        second, _ = self.caller.open()
        third, _ = self.caller.open()
        first.end(SHED, self.caller.now_ms())
        self.caller.answer(second)
        assert self.cap() == 11
        self.caller.node.clock.advance_ms(150)
        self.caller.answer(third)
        assert self.cap() == 12

    def test_lowered_cap_is_kept_after_the_vm_list_is_read_again(self):
        """Guards against sheds that the next read of the list undoes.

        The VM list is read every second.
        """
        exchange, _ = self.caller.open()
        exchange.end(SHED, self.caller.now_ms())
        publish_vm_list(self.caller.node, upstream_vm('w1'), node_vm('n1'))
        assert self.cap() == 11

    def test_report_after_the_vm_list_is_read_again_allows_calls(self):
        """Guards against refusals at an idle upstream.

        While a report after a new VM list was compared with 0 slots, about one
        call in 200 was refused.
        """
        self.caller.limit.cap(self.upstream, 6)
        publish_vm_list(self.caller.node, upstream_vm('w1'), node_vm('n1'))
        report = LoadReport('i', 1)
        self.caller.node.events.publish(ReportSeen('w1', report, 0))
        assert self.caller.refusal() is None

    def test_fresh_report_near_twice_the_slots_limits_calls(self):
        self.caller.limit.cap(self.upstream, 6)
        report = LoadReport('i', 11)
        self.caller.node.events.publish(ReportSeen('w1', report, 0))
        assert self.caller.refusal() is None
        assert self.caller.refusal() is Refusal.NO_UPSTREAM
        self.caller.node.clock.advance_ms(50)
        assert self.caller.refusal() is None


class TestSubset:
    """Guards against unbalanced subsets and needless changes of subsets."""

    def upstreams(self, names):
        caller = Caller(
            *(
                upstream_vm(name, f'z{index % 4}')
                for index, name in enumerate(names)
            ),
        )
        return caller.node.fleet.of_service('work')

    def test_subset_of_a_small_pool_is_the_whole_pool(self):
        upstreams = self.upstreams([f'w{index}' for index in range(20)])
        assert len(choose_subset('n1', upstreams, 20)) == 20

    def test_subset_has_upstreams_of_all_zones_in_proportion(self):
        upstreams = self.upstreams([f'w{index}' for index in range(100)])
        subset = choose_subset('n1', upstreams, 20)
        zones = [
            upstream.availability_zone
            for upstream in upstreams
            if upstream.upstream_id in subset
        ]
        assert sorted(zones) == sorted(['z0', 'z1', 'z2', 'z3'] * 5)

    def test_replaced_upstream_changes_at_most_one_of_the_subset(self):
        names = [f'w{index}' for index in range(100)]
        before = self.upstreams(names)
        names[37] = 'replacement'
        after = self.upstreams(names)
        for node_id in ('n1', 'n2', 'n3', 'n4', 'n5'):
            kept = choose_subset(node_id, before, 20) & choose_subset(
                node_id,
                after,
                20,
            )
            assert len(kept) >= 19

    def test_calls_are_sent_only_within_the_subset(self):
        vms = [upstream_vm(f'w{index}') for index in range(30)]
        caller = Caller(*vms, node_vm('n1'), subset_size=3)
        used = {caller.open()[1].upstream.upstream_id for _ in range(30)}
        expected = choose_subset('n1', caller.node.fleet.of_service('work'), 3)
        assert used == expected

    def test_replaced_node_changes_no_subset_and_few_node_counts(self):
        vms = [upstream_vm(f'w{index}') for index in range(100)]
        nodes = [node_vm(f'n{index}') for index in range(40)]
        caller = Caller(*vms, *nodes, subset_size=20)
        sharing = caller.node.part(Extension.SERVICE, 'sharing')
        upstreams = caller.node.fleet.of_service('work')
        before = [sharing.node_count(upstream) for upstream in upstreams]
        nodes[7] = node_vm('replacement')
        publish_vm_list(caller.node, *vms, *nodes)
        after = [sharing.node_count(upstream) for upstream in upstreams]
        assert [bool(count) for count in before] == [
            bool(count) for count in after
        ]
        changed = sum(
            abs(old - new) for old, new in zip(before, after, strict=True)
        )
        assert 0 < changed <= 20


class TestConnectionLimits:
    def test_limit_is_the_share_of_the_connections_of_the_pool(self):
        nodes = [node_vm(f'n{index}') for index in range(16)]
        caller = Caller(upstream_vm('w1'), *nodes)
        limits = caller.node.part(Extension.SERVICE, 'connection-limits')
        assert limits.limit(caller.node.fleet.find('w1')) == 250 // 16


class TestTenantShare:
    def setup_method(self):
        self.caller = Caller(upstream_vm('w1'), node_vm('n1'))

    def refusals(self, tenant, calls):
        return [self.caller.refusal(tenant=tenant) for _ in range(calls)]

    def test_single_tenant_may_use_the_whole_pool(self):
        assert self.refusals('a', 12) == [None] * 12

    def test_tenant_above_its_share_is_refused_first_when_contended(self):
        """Guards against a tenant whose calls displace those of all others."""
        self.refusals('a', 9)
        assert self.refusals('b', 1) == [None]
        assert self.refusals('a', 1) == [Refusal.TENANT_SHARE]
        assert self.refusals('b', 1) == [None]

    def test_tenants_are_not_refused_while_the_pool_is_uncontended(self):
        self.refusals('b', 1)
        assert self.refusals('a', 8) == [None] * 8

    def test_ended_calls_do_not_count(self):
        opened = [self.caller.open(tenant='a')[0] for _ in range(9)]
        self.refusals('b', 1)
        assert self.refusals('a', 1) == [Refusal.TENANT_SHARE]
        for exchange in opened[:2]:
            self.caller.answer(exchange)
        assert self.refusals('a', 1) == [None]

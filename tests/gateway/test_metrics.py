"""Metrics: their values, and a bounded number of series."""

import dataclasses

from support import (
    ROUTES,
    make_call,
    make_node,
    publish_tables,
    publish_vm_list,
    tables,
    upstream_vm,
)

from figdoor_gateway.metrics import Metrics
from figdoor_gateway.metrics._tenants import (
    MAX_LISTED_TENANTS,
    MAX_PAIRS,
    MAX_TENANTS,
)
from figdoor_kernel import (
    CallHeld,
    Dispatcher,
    Extension,
    NodeState,
    Outlook,
    PluginFailed,
    ProbeRequested,
    Tenant,
    Tick,
    digest_of_key,
)


def lines(metrics, prefix):
    text = metrics.render().decode()
    return [line for line in text.splitlines() if line.startswith(prefix)]


class TestMetrics:
    """Guards against wrong values and against series that are never removed."""

    def setup_method(self):
        self.node = make_node()
        self.node.registry.provide(
            Extension.SERVICE,
            'readiness',
            FixedReadiness,
        )
        self.metrics = Metrics(self.node)
        publish_tables(self.node)

    def refuse(self, tenant):
        """Open a call that is refused, since there is no upstream."""
        dispatcher = Dispatcher(self.node)
        now_ms = self.node.clock.now_ms()
        call = make_call(tenant=tenant)
        dispatcher.open(call, now_ms, lambda: None).next_step(now_ms)

    def test_tenants_beyond_the_limit_share_one_series(self):
        """Guards against callers that use up memory by many tenant names."""
        for number in range(3 * MAX_TENANTS):
            self.refuse(f't{number}')
        calls = lines(self.metrics, 'figdoor_calls_total')
        assert len(calls) == MAX_TENANTS + 1
        other = [line for line in calls if 'tenant="other"' in line]
        assert other[0].endswith(f' {2 * MAX_TENANTS}.0')

    def test_searches_without_room_are_counted_by_outlook(self):
        routed = Dispatcher(self.node).open(make_call(), 0, print).routed
        for outlook in (Outlook.IN_TIME, Outlook.LATE, Outlook.LATE):
            self.node.events.publish(
                CallHeld(routed, 0, 1, outlook, 100, 50, 4, now_ms=0)
            )
        counted = lines(self.metrics, 'figdoor_searches_without_room_total')
        assert [line.split()[-1] for line in counted] == ['1.0', '2.0']

    def test_calls_are_counted_by_outcome_and_reason(self):
        self.refuse('t1')
        (line,) = lines(self.metrics, 'figdoor_calls_total')
        assert 'outcome="not-run"' in line
        assert 'reason="no-upstream"' in line

    def test_removed_routes_and_upstreams_lose_their_series(self):
        publish_vm_list(self.node, upstream_vm('w1'))
        self.node.events.publish(ProbeRequested('w1', 0))
        self.refuse('t1')
        publish_vm_list(self.node)
        renamed = ROUTES.replace('read,', 'look,')
        publish_tables(self.node, tables(2, routes=renamed))
        assert not lines(self.metrics, 'figdoor_probes_total')
        assert not lines(self.metrics, 'figdoor_calls_total')
        assert not lines(self.metrics, 'figdoor_call_seconds_count')

    def test_gauges_show_revision_readiness_and_age_of_the_lease(self):
        self.node.clock.advance_ms(1500)
        publish_vm_list(self.node, upstream_vm('w1'), upstream_vm('w2', 'z2'))
        text = self.metrics.render().decode()
        assert 'figdoor_tables_revision 1.0' in text
        assert 'figdoor_evacuated_zones 0.0' in text
        assert 'figdoor_ready 1.0' in text
        assert 'figdoor_tables_confirmed_age_seconds 1.5' in text
        assert 'figdoor_upstreams{service="work",vm_state="live"} 2.0' in text

    def test_late_tick_counts_as_a_pause(self):
        for at_ms in (0, 50, 700, 750):
            self.node.events.publish(Tick(at_ms))
        assert 'figdoor_pauses_total 1.0' in self.metrics.render().decode()

    def test_failures_of_plugins_are_counted(self):
        """Guards against errors that no alert shows."""
        self.node.events.publish(PluginFailed(LookupError(), 1))
        (line,) = lines(self.metrics, 'figdoor_plugin_failures_total')
        assert line.endswith(' 1.0')


class TestTenants:
    """Guards against tenants that operators cannot tell apart.

    With tenants in the tables, an operator has to see what each of them asked,
    and what was refused and why.
    """

    def setup_method(self):
        self.node = make_node()
        self.node.registry.provide(
            Extension.SERVICE,
            'readiness',
            FixedReadiness,
        )
        self.metrics = Metrics(self.node)
        self.dispatcher = Dispatcher(self.node)

    def publish(self, *names, revision=1, routes=ROUTES):
        tenants = {
            name: Tenant(name, frozenset((digest_of_key(name.encode()),)))
            for name in names
        }
        accepted = dataclasses.replace(
            tables(revision, routes=routes), tenants=tenants, needs_key=True
        )
        publish_tables(self.node, accepted)

    def refuse(self, key):
        now_ms = self.node.clock.now_ms()
        call = make_call(key_digest=digest_of_key(key.encode()))
        self.dispatcher.open(call, now_ms, print).next_step(now_ms)

    def lines(self):
        return lines(self.metrics, 'figdoor_tenant_calls_total')

    def test_each_listed_tenant_has_its_own_series(self):
        """Guards against the 65th tenant that is counted as ``other``."""
        names = [f't{number}' for number in range(74)]
        self.publish(*names)
        for name in names:
            self.refuse(name)
        assert len(self.lines()) == 74
        calls = lines(self.metrics, 'figdoor_calls_total')
        assert len(calls) == 74
        assert not [line for line in calls if '"other"' in line]

    def test_unknown_keys_are_counted_without_a_tenant(self):
        self.publish('t1')
        self.refuse('nope')
        self.refuse('nope2')
        (line,) = self.lines()
        labels = 'outcome="not-run",reason="unknown-key",tenant=""'
        assert line.endswith(f'{{{labels}}} 2.0')

    def test_tables_without_tenants_add_no_series(self):
        publish_tables(self.node)
        self.refuse('t1')
        assert not self.lines()

    def test_tenants_that_left_lose_their_series(self):
        self.publish('t1', 't2')
        self.refuse('t1')
        self.refuse('t2')
        self.publish('t2', revision=2)
        assert len(self.lines()) == 1
        assert len(lines(self.metrics, 'figdoor_calls_total')) == 1
        assert len(lines(self.metrics, 'figdoor_call_seconds_count')) == 1

    def test_number_of_series_is_bounded(self):
        """Guards against tables that use up the memory of a small node."""
        names = [f't{number}' for number in range(MAX_LISTED_TENANTS + 50)]
        self.publish(*names)
        for name in names:
            self.refuse(name)
        assert len(self.lines()) == MAX_LISTED_TENANTS + 1
        histograms = lines(self.metrics, 'figdoor_call_seconds_count')
        assert len(histograms) == MAX_PAIRS + 1

    def test_routes_that_come_and_go_leave_no_pairs(self):
        """Guards against tenants that turn ``other`` after many changes."""
        for revision in range(1, MAX_PAIRS + 20):
            renamed = ROUTES.replace('read,', f'r{revision},')
            self.publish('t1', revision=revision, routes=renamed)
            self.refuse('t1')
        (line,) = lines(self.metrics, 'figdoor_calls_total')
        assert 'tenant="t1"' in line


class FixedReadiness:
    state = NodeState.READY

    def __init__(self, node):
        self.node = node

    def reasons(self, now_ms):
        return ()

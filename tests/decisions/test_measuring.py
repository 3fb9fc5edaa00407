"""The measuring budget, with several nodes on one virtual clock."""

from bisect import bisect_left

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from network import Network
from support import (
    Recorder,
    confirm_config,
    make_node,
    node_vm,
    publish_tables,
    publish_vm_list,
    upstream_vm,
)

from figdoor_decisions.measuring import NodeCount
from figdoor_kernel import (
    LoadReport,
    ProbeRequested,
    ReportSeen,
    Tick,
    UpstreamState,
    UpstreamStateChanged,
    VmState,
)

BUDGET_PER_S = 2
LIST_READ_MS = 1000


class MeasuredFleet:
    """Nodes that read the VM list every second and probe one upstream."""

    def __init__(self, size):
        self.network = Network()
        self.probes_ms = []
        self.names = []
        self.started = 0
        for _ in range(size):
            self.add()
        self.read_lists()

    def add(self):
        self.started += 1
        self.names.append(f'n{self.started}')
        self.start(self.names[-1])

    def start(self, name):
        node = self.network.add(name)
        publish_tables(node)
        node.events.subscribe(ProbeRequested, self._on_wanted)

    def remove(self):
        name = self.names.pop(0)
        self.network.remove(name)
        self.network.paused.pop(name, None)

    def read_lists(self):
        vms = [node_vm(name) for name in self.names]
        for name, node in self.network.nodes.items():
            if name not in self.network.paused:
                publish_vm_list(node, upstream_vm('w1'), *vms)

    def run(self, total_ms):
        for _ in range(int(total_ms / LIST_READ_MS)):
            self.network.advance_ms(LIST_READ_MS)
            self.read_lists()

    def most_within(self, window_ms):
        return max(
            (
                bisect_left(self.probes_ms, start_ms + window_ms) - index
                for index, start_ms in enumerate(self.probes_ms)
            ),
            default=0,
        )

    def check(self):
        now_ms = self.network.clock.now_ms()
        assert len(self.probes_ms) <= BUDGET_PER_S * now_ms / 1000
        for window_ms in (1000, 10_000, 30_000):
            burst = self.started
            allowed = BUDGET_PER_S * window_ms / 1000 + burst
            assert self.most_within(window_ms) <= allowed

    def _on_wanted(self, event):
        self.probes_ms.append(event.now_ms)


class TestBudget:
    @pytest.mark.parametrize('size', [1, 5, 16])
    def test_budget_is_used_to_four_fifths_and_never_exceeded(self, size):
        fleet = MeasuredFleet(size)
        fleet.run(120_000)
        fleet.check()
        assert len(fleet.probes_ms) >= 0.6 * BUDGET_PER_S * 120

    def test_nodes_that_start_together_spread_their_probes(self):
        # The failure: sixteen probes in the same second, every ten seconds.
        fleet = MeasuredFleet(16)
        fleet.run(120_000)
        assert fleet.most_within(1000) <= 8

    def test_holds_in_a_split(self):
        fleet = MeasuredFleet(16)
        fleet.network.split(fleet.names[:4], fleet.names[4:])
        fleet.run(60_000)
        fleet.check()

    def test_nothing_is_saved_up_over_a_pause(self):
        fleet = MeasuredFleet(16)
        for name in fleet.names:
            fleet.network.pause(name)
        fleet.run(60_000)
        for name in fleet.names:
            fleet.network.resume(name)
        woken_ms = fleet.network.clock.now_ms()
        fleet.read_lists()
        fleet.run(9000)
        assert not fleet.probes_ms
        fleet.run(30_000)
        spent = [at_ms for at_ms in fleet.probes_ms if at_ms >= woken_ms]
        assert len(spent) <= BUDGET_PER_S * 39

    def test_short_pauses_fill_no_bucket(self):
        # The failure: a node that wakes up every few seconds counts the time
        # between as earned, and probes late in bursts.
        node = make_node()
        wanted = Recorder(node, ProbeRequested)
        publish_tables(node)
        for _ in range(20):
            publish_vm_list(node, upstream_vm('w1'), node_vm('n1'))
            node.events.publish(Tick(node.clock.now_ms()))
            node.clock.advance_ms(3000)
        assert not wanted.events

    def test_shrunk_list_counts_only_after_its_lag(self):
        # The failure: a list that loses nodes for a moment raises the share.
        node = make_node()
        count = NodeCount(node)
        many = [node_vm(f'n{index}') for index in range(16)]
        publish_vm_list(node, *many)
        publish_vm_list(node, many[1])
        node.clock.advance_ms(4900)
        assert count.largest(node.clock.now_ms()) == 16
        node.clock.advance_ms(200)
        assert count.largest(node.clock.now_ms()) == 1

    def test_woken_node_does_not_trust_its_old_list(self):
        # The failure: a node from a fleet of one spends the whole budget of
        # the fleet of sixteen that it wakes up in.
        fleet = MeasuredFleet(1)
        fleet.run(2000)
        fleet.network.pause('n1')
        fleet.network.advance_ms(60_000)
        fleet.network.resume('n1')
        before = len(fleet.probes_ms)
        fleet.network.advance_ms(4000)
        assert len(fleet.probes_ms) == before

    def test_node_that_restarts_again_and_again_spends_nothing(self):
        fleet = MeasuredFleet(4)
        for _ in range(30):
            for name in fleet.names:
                fleet.start(name)
            fleet.read_lists()
            fleet.run(2000)
        assert not fleet.probes_ms

    def test_holds_while_the_fleet_grows_unseen_by_a_quarter(self):
        fleet = MeasuredFleet(16)
        fleet.run(20_000)
        old_list = [node_vm(name) for name in fleet.names]
        for _ in range(4):
            fleet.add()
        for _ in range(60):
            fleet.network.advance_ms(LIST_READ_MS)
            for name, node in fleet.network.nodes.items():
                own = [] if node_vm(name) in old_list else [node_vm(name)]
                publish_vm_list(node, upstream_vm('w1'), *old_list, *own)
        fleet.check()

    @settings(max_examples=25)
    @given(
        size=st.integers(min_value=4, max_value=12),
        steps=st.lists(
            st.sampled_from(['run', 'pause', 'resume', 'replace', 'restart']),
            max_size=12,
        ),
    )
    def test_holds_while_nodes_pause_and_are_replaced(self, size, steps):
        fleet = MeasuredFleet(size)
        for step in steps:
            name = fleet.names[0]
            if step == 'pause' and name not in fleet.network.paused:
                fleet.network.pause(name)
            elif step == 'resume' and name in fleet.network.paused:
                fleet.network.resume(name)
            elif step == 'replace':
                fleet.remove()
                fleet.add()
            elif step == 'restart' and name not in fleet.network.paused:
                fleet.start(name)
            fleet.read_lists()
            fleet.run(6000)
        fleet.run(20_000)
        fleet.check()


class TestProber:
    def setup_method(self):
        self.node = make_node()
        self.wanted = Recorder(self.node, ProbeRequested)
        self.vms = [upstream_vm('w1'), node_vm('n1')]
        publish_tables(self.node)

    def run(self, total_ms=5000):
        for at_ms in range(0, total_ms, 50):
            self.node.clock.advance_ms(50)
            if at_ms % LIST_READ_MS == 0:
                publish_vm_list(self.node, *self.vms)
            self.node.events.publish(Tick(self.node.clock.now_ms()))
        return self.wanted.events

    def test_upstream_without_a_report_is_probed(self):
        assert {event.upstream for event in self.run()} == {'w1'}

    def test_node_outside_its_own_list_spends_nothing(self):
        self.vms = [upstream_vm('w1'), node_vm('n2')]
        assert not self.run()

    def test_leaving_node_spends_nothing(self):
        self.vms[1] = node_vm('n1', state=VmState.LEAVING)
        assert not self.run()

    def test_leaving_upstream_is_not_probed(self):
        self.vms[0] = upstream_vm('w1', state=VmState.LEAVING)
        assert not self.run()

    def test_zone_out_of_service_is_not_probed(self):
        self.vms[0] = upstream_vm('w1', 'z9')
        assert not self.run()

    def test_draining_upstream_is_not_probed(self):
        state = UpstreamState.DRAINING
        self.node.events.publish(UpstreamStateChanged('w1', state, 0))
        assert not self.run()

    def test_idle_serving_upstream_is_probed_for_drain_marks(self):
        state = UpstreamState.SERVING
        self.node.events.publish(UpstreamStateChanged('w1', state, 0))
        assert self.run()

    def test_probing_goes_on_while_the_platform_is_down(self):
        self.run()
        before = len(self.wanted.events)
        for _ in range(400):
            self.node.clock.advance_ms(50)
            confirm_config(self.node)
            self.node.events.publish(Tick(self.node.clock.now_ms()))
        assert len(self.wanted.events) > before

    def test_upstream_that_reported_lately_is_not_probed(self):
        publish_vm_list(self.node, *self.vms)
        for _ in range(10):
            report = LoadReport('i', 1)
            now_ms = self.node.clock.now_ms()
            self.node.events.publish(ReportSeen('w1', report, now_ms))
            assert not self.run(500)

    def test_dropped_upstream_is_forgotten(self):
        self.run()
        self.vms = [node_vm('n1')]
        before = len(self.wanted.events)
        assert len(self.run()) == before

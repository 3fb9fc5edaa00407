"""The probe budget of upstreams, with several nodes on a virtual clock."""

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

PROBES_PER_S = 2
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
        node.events.subscribe(ProbeRequested, self._on_probe_requested)

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

    def max_probes_within(self, window_ms):
        return max(
            (
                bisect_left(self.probes_ms, start_ms + window_ms) - index
                for index, start_ms in enumerate(self.probes_ms)
            ),
            default=0,
        )

    def check_budget(self):
        now_ms = self.network.clock.now_ms()
        assert len(self.probes_ms) <= PROBES_PER_S * now_ms / 1000
        for window_ms in (1000, 10_000, 30_000):
            burst = self.started
            allowed = PROBES_PER_S * window_ms / 1000 + burst
            assert self.max_probes_within(window_ms) <= allowed

    def _on_probe_requested(self, event):
        self.probes_ms.append(event.now_ms)


class TestBudget:
    @pytest.mark.parametrize('size', [1, 5, 16])
    def test_most_of_the_budget_is_used_and_it_is_never_exceeded(self, size):
        fleet = MeasuredFleet(size)
        fleet.run(120_000)
        fleet.check_budget()
        assert len(fleet.probes_ms) >= 0.6 * PROBES_PER_S * 120

    def test_nodes_that_start_together_spread_their_probes(self):
        """Guards against 16 probes in the same second, every ten seconds."""
        fleet = MeasuredFleet(16)
        fleet.run(120_000)
        assert fleet.max_probes_within(1000) <= 8

    def test_budget_holds_in_a_network_partition(self):
        fleet = MeasuredFleet(16)
        fleet.network.split(fleet.names[:4], fleet.names[4:])
        fleet.run(60_000)
        fleet.check_budget()

    def test_pause_adds_nothing_to_the_budget(self):
        fleet = MeasuredFleet(16)
        for name in fleet.names:
            fleet.network.pause(name)
        fleet.run(60_000)
        for name in fleet.names:
            fleet.network.resume(name)
        resumed_ms = fleet.network.clock.now_ms()
        fleet.read_lists()
        fleet.run(9000)
        assert not fleet.probes_ms
        fleet.run(30_000)
        sent = [at_ms for at_ms in fleet.probes_ms if at_ms >= resumed_ms]
        assert len(sent) <= PROBES_PER_S * 39

    def test_repeated_pauses_do_not_fill_the_bucket(self):
        """Guards against pauses that fill the bucket.

        A node that runs only for moments, every few seconds, would otherwise
        send bursts of probes.
        """
        node = make_node()
        requested = Recorder(node, ProbeRequested)
        publish_tables(node)
        for _ in range(20):
            publish_vm_list(node, upstream_vm('w1'), node_vm('n1'))
            node.events.publish(Tick(node.clock.now_ms()))
            node.clock.advance_ms(3000)
        assert not requested.events

    def test_smaller_vm_list_counts_only_after_its_lag(self):
        """Guards against a higher share while the list briefly lacks nodes."""
        node = make_node()
        count = NodeCount(node)
        all_nodes = [node_vm(f'n{index}') for index in range(16)]
        publish_vm_list(node, *all_nodes)
        publish_vm_list(node, all_nodes[1])
        node.clock.advance_ms(4900)
        assert count.largest(node.clock.now_ms()) == 16
        node.clock.advance_ms(200)
        assert count.largest(node.clock.now_ms()) == 1

    def test_resumed_node_sends_no_probes_by_its_old_list(self):
        """Guards against a node that resumes with an outdated VM list.

        If its list has only this node, it would use the whole budget of a
        fleet that has grown during the pause.
        """
        fleet = MeasuredFleet(1)
        fleet.run(2000)
        fleet.network.pause('n1')
        fleet.network.advance_ms(60_000)
        fleet.network.resume('n1')
        before = len(fleet.probes_ms)
        fleet.network.advance_ms(4000)
        assert len(fleet.probes_ms) == before

    def test_node_that_restarts_repeatedly_sends_no_probes(self):
        fleet = MeasuredFleet(4)
        for _ in range(30):
            for name in fleet.names:
                fleet.start(name)
            fleet.read_lists()
            fleet.run(2000)
        assert not fleet.probes_ms

    def test_budget_holds_while_the_lists_lack_a_quarter_of_the_nodes(self):
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
        fleet.check_budget()

    @settings(max_examples=25)
    @given(
        size=st.integers(min_value=4, max_value=12),
        steps=st.lists(
            st.sampled_from(['run', 'pause', 'resume', 'replace', 'restart']),
            max_size=12,
        ),
    )
    def test_budget_holds_while_nodes_pause_and_are_replaced(self, size, steps):
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
        fleet.check_budget()


class TestProber:
    def setup_method(self):
        self.node = make_node()
        self.requested = Recorder(self.node, ProbeRequested)
        self.vms = [upstream_vm('w1'), node_vm('n1')]
        publish_tables(self.node)

    def run(self, total_ms=5000):
        for at_ms in range(0, total_ms, 50):
            self.node.clock.advance_ms(50)
            if at_ms % LIST_READ_MS == 0:
                publish_vm_list(self.node, *self.vms)
            self.node.events.publish(Tick(self.node.clock.now_ms()))
        return self.requested.events

    def test_upstream_without_a_report_is_probed(self):
        assert {event.upstream for event in self.run()} == {'w1'}

    def test_node_missing_from_its_own_list_sends_no_probes(self):
        self.vms = [upstream_vm('w1'), node_vm('n2')]
        assert not self.run()

    def test_leaving_node_sends_no_probes(self):
        self.vms[1] = node_vm('n1', state=VmState.LEAVING)
        assert not self.run()

    def test_leaving_upstream_is_not_probed(self):
        self.vms[0] = upstream_vm('w1', state=VmState.LEAVING)
        assert not self.run()

    def test_upstream_in_a_zone_out_of_service_is_not_probed(self):
        self.vms[0] = upstream_vm('w1', 'z9')
        assert not self.run()

    def test_draining_upstream_is_not_probed(self):
        state = UpstreamState.DRAINING
        self.node.events.publish(UpstreamStateChanged('w1', state, 0))
        assert not self.run()

    def test_idle_serving_upstream_is_probed_for_its_draining_state(self):
        state = UpstreamState.SERVING
        self.node.events.publish(UpstreamStateChanged('w1', state, 0))
        assert self.run()

    def test_probes_continue_while_the_platform_is_down(self):
        self.run()
        before = len(self.requested.events)
        for _ in range(400):
            self.node.clock.advance_ms(50)
            confirm_config(self.node)
            self.node.events.publish(Tick(self.node.clock.now_ms()))
        assert len(self.requested.events) > before

    def test_upstream_with_a_recent_report_is_not_probed(self):
        publish_vm_list(self.node, *self.vms)
        for _ in range(10):
            report = LoadReport('i', 1)
            now_ms = self.node.clock.now_ms()
            self.node.events.publish(ReportSeen('w1', report, now_ms))
            assert not self.run(500)

    def test_removed_upstream_is_not_probed(self):
        self.run()
        self.vms = [node_vm('n1')]
        before = len(self.requested.events)
        assert len(self.run()) == before

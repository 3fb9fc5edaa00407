"""Simulates workers, platform and callers around several real decision nodes.

Everything runs on one virtual clock. The actions of the nodes are recorded,
and the oracle checks the records against the promises.
"""

from collections import Counter
from functools import partial
from itertools import count

from network import Network
from records import CallRecord, Worker
from simulated_call import SimulatedCall
from support import node_vm, upstream_vm

from figdoor_decisions.stopping import StopPhase
from figdoor_kernel import (
    ConfigReadSucceeded,
    ConnectionsClosed,
    Dispatcher,
    Extension,
    ProbeRequested,
    ReportSeen,
    StopBegun,
    TablesAccepted,
    TablesOffered,
    Tick,
    VmList,
    VmListChanged,
    VmState,
)

ROUTES = """
route, authority, path_prefix, operations, pool, idempotent, tenant, deadline_ms, retry_percent
read,  *,         /,           GET,        work, GET,        t1,     800,         20
write, *,         /,           POST,       work, ,           t1,     800,         20
"""
POOLS = """
pool, service, availability_zones, slots, connections, cold_limit, probes_per_s
work, work,    {zones},            4,     250,         1,          {probes}
"""
PROBES_PER_S = 2
READ_INTERVAL_MS = 500
STOP_GRACE_MS = 300
PROBE_MS = 2
VM_LIST_LAG_MS = 1000


class Simulation:
    """Nodes, workers and platform, with injected faults and records.

    While ``served_revision`` is set, the platform serves this revision instead
    of the newest; it serves the first one to ``nodes_served_stale`` and nothing
    to ``nodes_without_service``. ``had_partial_reach`` says that some nodes
    could read a change that others could not, ``had_disturbed_links`` that
    messages between nodes were lost or delayed; some promises are weaker then.
    """

    def __init__(self, node_count=3):
        names = [f'n{number + 1}' for number in range(node_count)]
        self.network = Network(
            *names,
            vm_list_lag_ms=VM_LIST_LAG_MS * 2,
            cold_starts=True,
        )
        self.clock = self.network.clock
        self.workers = {
            name: Worker(name, zone)
            for name, zone in (
                ('w1', 'z1'),
                ('w2', 'z1'),
                ('w3', 'z2'),
                ('w4', 'z2'),
            )
        }
        self.revision = 0
        self.published = {}
        self.service_up = True
        self.served_revision = None
        self.nodes_without_service = set()
        self.nodes_served_stale = set()
        self.had_partial_reach = False
        self.had_disturbed_links = False
        self.sent_requests = []
        self.call_records = []
        self.probes = []
        self.accepted = []
        # Numbers nodes of the same name. Their id() would not be unique: a
        # replaced node is freed, and a later one can get the same id().
        self.incarnations = count(1)
        self.connections = Counter()
        self.simulated_calls = []
        self.aborted_calls = []
        self.zone_changes = []
        self.dispatchers = {}
        self.vm_list_history = [(0, VmList())]
        for name in names:
            self.record_node(name)
        self.publish({'z1', 'z2'})
        self.list_vms()
        self.advance_ms(4000)

    def record_node(self, name):
        """Record the probes and accepted tables of a node."""
        node = self.network.nodes[name]
        incarnation = next(self.incarnations)
        self.dispatchers[name] = Dispatcher(node)
        node.events.subscribe(ProbeRequested, partial(self.probe, node))
        node.events.subscribe(
            TablesAccepted,
            lambda event: self.accepted.append(
                (event.now_ms, (name, incarnation), event.tables.revision),
            ),
        )

    def probe(self, node, event):
        """Deliver the worker's load report in response to a probe."""
        self.probes.append((event.upstream, event.now_ms))
        worker = self.workers[event.upstream]
        self.network.deliver(
            node,
            PROBE_MS,
            lambda: node.events.publish(
                ReportSeen(
                    event.upstream, worker.report(), self.clock.now_ms()
                ),
            ),
        )

    def advance_ms(self, total_ms):
        """Let time pass; each node reads the platform every half second."""
        left_ms = total_ms
        while left_ms > 0:
            step_ms = min(READ_INTERVAL_MS, left_ms)
            left_ms -= step_ms
            for name in tuple(self.network.nodes):
                if name not in self.network.paused:
                    self.read_platform(name)
            self.network.advance_ms(step_ms)

    def read_platform(self, name):
        """Deliver the tables and the VM list to a node that can reach them."""
        if not self.service_up or name in self.nodes_without_service:
            return
        events = self.network.nodes[name].events
        now_ms = self.clock.now_ms()
        revision = self.served_revision or self.revision
        if name in self.nodes_served_stale:
            revision = 1
        texts = self.published[revision]
        events.publish(TablesOffered(revision, *texts, now_ms))
        events.publish(ConfigReadSucceeded(now_ms, revision))
        lagged = [
            vm_list
            for at_ms, vm_list in self.vm_list_history
            if at_ms <= now_ms - VM_LIST_LAG_MS or at_ms == 0
        ]
        events.publish(VmListChanged(lagged[-1], now_ms))

    def publish(self, zones):
        """Publish tables with these availability zones in service."""
        self.revision += 1
        pools = POOLS.format(zones=' '.join(sorted(zones)), probes=PROBES_PER_S)
        self.published[self.revision] = (ROUTES, pools)
        self.zone_changes.append(
            (self.clock.now_ms(), frozenset(zones), self.revision),
        )

    def list_vms(self):
        """Record a new VM list; nodes read it after the lag of the platform.

        They read the first list without this lag.
        """
        vms = [
            upstream_vm(
                worker.name,
                worker.zone,
                state=VmState.LEAVING
                if worker.draining_since_ms is not None
                else VmState.LIVE,
            )
            for worker in self.workers.values()
        ]
        nodes = self.network.nodes.values()
        vms += [node_vm(node.node_id, node.availability_zone) for node in nodes]
        self.vm_list_history.append(
            (self.clock.now_ms() or 1, VmList(tuple(vms)))
        )
        if len(self.vm_list_history) == 2:
            self.vm_list_history[0] = (0, self.vm_list_history[1][1])

    def replace_node(self, name):
        """Replace a node by one without any state."""
        self.network.paused.pop(name, None)
        for simulated in self.simulated_calls:
            if simulated.node is self.network.nodes[name]:
                simulated.cancel()
        for link in tuple(self.connections):
            if link[0] == name:
                self.connections.pop(link)
        self.network.add(name)
        self.record_node(name)

    def stop_node(self, name):
        """Stop a node as on SIGTERM, and replace it when it has stopped."""
        node = self.network.nodes[name]
        plan = node.part(Extension.SERVICE, 'stop-plan')
        if name in self.network.paused or plan.has_begun:
            return
        node.events.publish(StopBegun(STOP_GRACE_MS, self.clock.now_ms()))
        node.events.subscribe(Tick, partial(self.continue_stop, node, plan))

    def continue_stop(self, node, plan, tick):
        """Replace a stopping node once its stop plan is complete."""
        running = [
            simulated
            for simulated in self.simulated_calls
            if simulated.node is node and not simulated.record.outcomes
        ]
        phase = plan.phase(len(running), tick.now_ms)
        if phase is StopPhase.ABORTING:
            self.aborted_calls.extend(simulated.record for simulated in running)
        has_stopped = phase in {StopPhase.ABORTING, StopPhase.DONE}
        if has_stopped and self.network.nodes.get(node.node_id) is node:
            self.replace_node(node.node_id)

    def restart(self, worker):
        """Start a new, cold instance; its connections close."""
        worker.instance += 1
        worker.requests.clear()
        worker.cold_detected_ms.clear()
        worker.cold = True
        worker.completed = 0
        worker.draining_since_ms = None
        worker.silently_cold_since_ms = None
        self.list_vms()
        for name, node in self.network.nodes.items():
            if self.connections.pop((name, worker.name), 0):
                event = ConnectionsClosed(worker.name, self.clock.now_ms())
                self.network.deliver(
                    node, 0, partial(node.events.publish, event)
                )

    def turn_cold(self, worker):
        """Turn a worker cold without a restart or any other sign."""
        worker.cold = True
        worker.completed = 0
        worker.cold_detected_ms.clear()
        worker.silently_cold_since_ms = self.clock.now_ms()

    def drain(self, worker):
        """Start to drain a worker, as its reports and the VM list then say."""
        if worker.draining_since_ms is None:
            worker.draining_since_ms = self.clock.now_ms()
            self.list_vms()

    def call(self, node_name, operation, ending):
        """Send a request to a node; ``ending`` says how the worker ends it."""
        record = CallRecord(operation)
        self.call_records.append(record)
        if node_name in self.network.paused:
            return record
        SimulatedCall(self, node_name, record, ending).start()
        return record

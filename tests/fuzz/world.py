"""Workers, platform and callers around several real decision nodes.

Everything runs on one virtual clock. What the nodes do is recorded as plain
facts, which the oracle compares with the promises.
"""

from collections import Counter
from dataclasses import dataclass, field
from functools import partial

from network import Network
from support import make_call, node_vm, upstream_vm

from figdoor_decisions.stopping import StopPhase
from figdoor_kernel import (
    AttemptResult,
    AttemptState,
    ConnectionsClosed,
    Dispatcher,
    Extension,
    Finish,
    InstanceId,
    LoadReport,
    Outcome,
    ProbeWanted,
    ReportSeen,
    Send,
    ServiceConfirmed,
    TablesAccepted,
    TablesOffered,
    Tick,
    VmList,
    VmListChanged,
    VmState,
    Wait,
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
COLD_LIMIT = 1
SERVICE_MS = 10
DELAYS_MS = {'late': 400, 'hang': 5000}
CONNECT_MS = 1
READ_INTERVAL_MS = 500
STOP_GRACE_MS = 300
PROBE_MS = 2
VM_LIST_LAG_MS = 1000
# News of a turn to cold reaches all nodes within a few hops of 1 ms.
NEWS_MS = 10
# For this long a node ignores claims for an instance that turned cold.
MEMORY_MS = 1000


@dataclass(eq=False)
class Worker:
    """What an upstream truly is, which no node sees directly."""

    name: str
    zone: str
    instance: int = 1
    flights: list = field(default_factory=list)
    completed: int = 0
    cold: bool = True
    draining_since_ms: float | None = None
    silent_since_ms: float | None = None
    shown_ms: dict = field(default_factory=dict)

    @property
    def running(self):
        return len(self.flights)

    def flights_since(self, since_ms, node=None):
        """Count running requests that a node, or any, sent since then."""
        return sum(
            flight.sent_ms >= since_ms and node in {None, flight.node}
            for flight in self.flights
        )

    @property
    def bears(self):
        """How many requests at once it bears in its present state."""
        return COLD_LIMIT if self.cold else 4

    @property
    def is_overloaded_silently(self):
        return self.silent_since_ms is not None and self.running > self.bears

    def report(self):
        mark = InstanceId(f'{self.name}-{self.instance}')
        draining = self.draining_since_ms is not None
        return LoadReport(mark, self.running, draining)


@dataclass(eq=False)
class Flight:
    """One request that runs at a worker."""

    sent_ms: float
    node: str


@dataclass
class CallRecord:
    """One request: what was run and what its caller was told."""

    operation: str
    executions: int = 0
    outcomes: list = field(default_factory=list)


@dataclass(frozen=True)
class SentRecord:
    """One request that left a node, with what held at that moment."""

    now_ms: float
    node: str
    worker: str
    zone: str
    revision: int
    running: int
    bears: int
    silent_since_ms: float | None
    draining_since_ms: float | None
    since_shown_to_node: int
    since_shown: int


class World:
    """The facts, and the hands that change them."""

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
        self.cut_from_service = set()
        self.served_stale = set()
        self.had_partial_reach = False
        self.had_disturbed_links = False
        self.sent = []
        self.calls = []
        self.probes = []
        self.accepted = []
        self.connections = Counter()
        self.driven = []
        self.cut = []
        self.zones_log = []
        self.dispatchers = {}
        self.vm_history = [(0, VmList())]
        for name in names:
            self.follow(name)
        self.publish({'z1', 'z2'})
        self.list_vms()
        self.advance_ms(4000)

    def follow(self, name):
        """Record what a node does from now on."""
        node = self.network.nodes[name]
        self.dispatchers[name] = Dispatcher(node)
        node.events.subscribe(ProbeWanted, partial(self.probe, node))
        node.events.subscribe(
            TablesAccepted,
            lambda event: self.accepted.append(
                (event.now_ms, (name, id(node)), event.tables.revision),
            ),
        )

    def probe(self, node, event):
        """Answer a probe with the worker's report."""
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
        """Let time pass; the platform is read every half second."""
        left_ms = total_ms
        while left_ms > 0:
            step_ms = min(READ_INTERVAL_MS, left_ms)
            left_ms -= step_ms
            for name in tuple(self.network.nodes):
                if name not in self.network.paused:
                    self.read_platform(name)
            self.network.advance_ms(step_ms)

    def read_platform(self, name):
        """Let a node read the tables and the VM list, if it can."""
        if not self.service_up or name in self.cut_from_service:
            return
        events = self.network.nodes[name].events
        now_ms = self.clock.now_ms()
        revision = self.served_revision or self.revision
        if name in self.served_stale:
            revision = 1
        texts = self.published[revision]
        events.publish(TablesOffered(revision, *texts, now_ms))
        events.publish(ServiceConfirmed(now_ms, revision))
        lagged = [
            listed
            for at_ms, listed in self.vm_history
            if at_ms <= now_ms - VM_LIST_LAG_MS or at_ms == 0
        ]
        events.publish(VmListChanged(lagged[-1], now_ms))

    def publish(self, zones):
        """Publish tables with these availability zones in service."""
        self.revision += 1
        pools = POOLS.format(zones=' '.join(sorted(zones)), probes=PROBES_PER_S)
        self.published[self.revision] = (ROUTES, pools)
        self.zones_log.append(
            (self.clock.now_ms(), frozenset(zones), self.revision),
        )

    def list_vms(self):
        """Change the VM list; nodes see it after its lag."""
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
        self.vm_history.append((self.clock.now_ms() or 1, VmList(tuple(vms))))
        if len(self.vm_history) == 2:
            self.vm_history[0] = (0, self.vm_history[1][1])

    def replace_node(self, name):
        """Replace a node by one with an empty memory."""
        self.network.paused.pop(name, None)
        for driven in self.driven:
            if driven.node is self.network.nodes[name]:
                driven.cancel()
        for link in tuple(self.connections):
            if link[0] == name:
                self.connections.pop(link)
        self.network.add(name)
        self.follow(name)

    def stop_node(self, name):
        """Stop a node as on SIGTERM, and replace it when it is done."""
        node = self.network.nodes[name]
        plan = node.part(Extension.SERVICE, 'stop-plan')
        if name in self.network.paused or plan.has_begun:
            return
        plan.begin(STOP_GRACE_MS, self.clock.now_ms())
        node.events.subscribe(Tick, partial(self.go_on_stopping, node, plan))

    def go_on_stopping(self, node, plan, tick):
        """Replace a stopping node once its plan says so."""
        running = [
            driven
            for driven in self.driven
            if driven.node is node and not driven.record.outcomes
        ]
        phase = plan.phase(len(running), tick.now_ms)
        if phase is StopPhase.CUTTING:
            self.cut.extend(driven.record for driven in running)
        over = phase in {StopPhase.CUTTING, StopPhase.DONE}
        if over and self.network.nodes.get(node.node_id) is node:
            self.replace_node(node.node_id)

    def restart(self, worker):
        """Start a new, cold instance; its connections close."""
        worker.instance += 1
        worker.flights.clear()
        worker.shown_ms.clear()
        worker.cold = True
        worker.completed = 0
        worker.draining_since_ms = None
        worker.silent_since_ms = None
        self.list_vms()
        for name, node in self.network.nodes.items():
            if self.connections.pop((name, worker.name), 0):
                event = ConnectionsClosed(worker.name, self.clock.now_ms())
                self.network.deliver(
                    node, 0, partial(node.events.publish, event)
                )

    def turn_cold(self, worker):
        """Let a worker fall back to cold with nothing to notice."""
        worker.cold = True
        worker.completed = 0
        worker.shown_ms.clear()
        worker.silent_since_ms = self.clock.now_ms()

    def drain(self, worker):
        """Let a worker start to leave; its reports and the list say so."""
        if worker.draining_since_ms is None:
            worker.draining_since_ms = self.clock.now_ms()
            self.list_vms()

    def call(self, node_name, operation, fate):
        """Send one request to a node; ``fate`` is how the worker ends it."""
        record = CallRecord(operation)
        self.calls.append(record)
        if node_name in self.network.paused:
            return record
        DrivenCall(self, node_name, record, fate).start()
        return record


class DrivenCall:
    """Does the steps of one exchange, as a front end would."""

    def __init__(self, world, node_name, record, fate):
        self.world = world
        self.node = world.network.nodes[node_name]
        self.record = record
        self.fate = fate
        self.attempt = 0
        self.running = None
        world.driven.append(self)
        now_ms = world.clock.now_ms()
        self.exchange = world.dispatchers[node_name].open(
            make_call(record.operation, fingerprint=len(world.calls)),
            now_ms,
            self.advance,
        )

    def later(self, delay_ms, action, *arguments):
        self.world.network.deliver(
            self.node,
            delay_ms,
            partial(action, *arguments),
        )

    def start(self):
        routed = self.exchange.routed
        if routed is not None:
            left_ms = routed.deadline_ms - self.world.clock.now_ms()
            self.later(left_ms, self.on_deadline)
        self.advance()

    def advance(self):
        if self.record.outcomes:
            return
        step = self.exchange.next_step(self.world.clock.now_ms())
        if isinstance(step, Finish):
            self.record.outcomes.append(step.outcome)
        elif isinstance(step, Wait):
            left_ms = step.until_ms - self.world.clock.now_ms()
            self.later(max(0, left_ms), self.advance)
        elif isinstance(step, Send):
            self.attempt += 1
            worker = self.world.workers[step.upstream.upstream_id]
            link = (self.node.node_id, worker.name)
            delay_ms = 0 if self.world.connections[link] else CONNECT_MS
            self.later(delay_ms, self.send, worker, self.attempt)

    def send(self, worker, attempt):
        if attempt != self.attempt or self.record.outcomes:
            return
        world = self.world
        now_ms = world.clock.now_ms()
        if not self.exchange.confirm_send(now_ms):
            self.advance()
            return
        world.connections[(self.node.node_id, worker.name)] += 1
        if self.fate == 'shed':
            self.later(1, self.end, AttemptState.SHED, attempt, worker, 0)
            return
        self.record.executions += 1
        self.flight = Flight(now_ms, self.node.node_id)
        worker.flights.append(self.flight)
        if worker.is_overloaded_silently:
            # It falls over only under load, as one that is cold does.
            self.fate = 'lost'
        world.sent.append(
            SentRecord(
                now_ms,
                self.node.node_id,
                worker.name,
                worker.zone,
                self.node.tables.revision,
                worker.running,
                worker.bears,
                worker.silent_since_ms,
                worker.draining_since_ms,
                *self.count_since_shown(worker, now_ms),
            ),
        )
        delay_ms = DELAYS_MS.get(self.fate, SERVICE_MS)
        left_ms = self.exchange.routed.deadline_ms - now_ms
        # A worker gives up at the deadline that came with the request.
        end = self.finish_on_worker if delay_ms < left_ms else self.cancel
        self.running = (worker, worker.instance)
        world.clock.reactor.callLater(
            min(delay_ms, left_ms) / 1000,
            end,
            *((attempt,) if delay_ms < left_ms else ()),
        )

    def count_since_shown(self, worker, now_ms):
        """Count what runs of that sent since it showed that it is cold.

        At this node within the memory of a turn to cold; over all nodes once
        the news has had time to arrive.
        """
        node = self.node.node_id
        own_ms = worker.shown_ms.get(node, -MEMORY_MS)
        own = 0
        if now_ms - own_ms < MEMORY_MS:
            own = worker.flights_since(own_ms, node)
        first_ms = min(worker.shown_ms.values(), default=now_ms)
        return own, worker.flights_since(first_ms + NEWS_MS)

    def cancel(self):
        """Let the worker stop, since its connection closed."""
        if self.running is not None:
            worker, instance = self.running
            self.running = None
            if worker.instance == instance:
                worker.flights.remove(self.flight)

    def finish_on_worker(self, attempt):
        if self.running is None:
            return
        worker, instance = self.running
        lost = self.fate == 'lost' or worker.instance != instance
        self.cancel()
        if not lost and self.fate != 'fail':
            worker.completed += 1
        if worker.completed >= 4 * COLD_LIMIT:
            worker.cold = False
        state = AttemptState.LOST if lost else AttemptState.ANSWERED
        self.later(0, self.end, state, attempt, worker, instance)

    def end(self, state, attempt, worker, instance):
        if attempt != self.attempt or self.record.outcomes:
            return
        now_ms = self.world.clock.now_ms()
        lost = state is AttemptState.LOST
        if lost and worker.silent_since_ms is not None:
            worker.shown_ms[self.node.node_id] = now_ms
        if not lost:
            self.exchange.report(worker.report(), now_ms)
        if state is AttemptState.ANSWERED:
            self.exchange.begin_answer()
        failed = self.fate == 'fail' and not lost
        self.exchange.end(
            AttemptResult(state, failed, connection_died=lost),
            now_ms,
        )
        self.advance()

    def on_deadline(self):
        if not self.record.outcomes:
            self.exchange.abandon(self.world.clock.now_ms())
            self.cancel()
            self.attempt += 1
            self.advance()


NOT_RUN = Outcome.NOT_RUN
ANSWERED = Outcome.ANSWERED

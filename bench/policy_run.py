"""The simulation behind `policies.py` and `zones.py`.

Runs nodes with all decision plug-ins, messages between them, fake workers and
calls on a virtual clock.
"""

import gc
import sys
from concurrent.futures import ProcessPoolExecutor
from importlib.metadata import entry_points
from random import Random
from statistics import median

from fake_workers import (
    LOCAL_ONE_WAY_MS,
    REMOTE_ONE_WAY_MS,
    SERVICE_MEAN_MS,
    SLOTS,
    VirtualClock,
    Worker,
)

from figdoor_kernel import (
    PLUGIN_GROUP,
    AttemptResult,
    AttemptState,
    Call,
    ConfigReadSucceeded,
    ConnectionsClosed,
    Dispatcher,
    Extension,
    Finish,
    Node,
    Options,
    Outcome,
    PeerMessageReceived,
    PeerSendRequested,
    Registry,
    Send,
    TablesAccepted,
    Tick,
    Vm,
    VmList,
    VmListChanged,
)
from figdoor_tables import read_tables

WORKERS = 20
ZONES = ('z1', 'z2', 'z3', 'z4')
TICK_MS = 50
CONFIRM_MS = 500
# Owner nodes grant permits from 2,000 ms on: after the lag of the VM list, the
# validity of a permit (500 ms) and the longest deadline.
VM_LIST_LAG_MS = 500
START_MS = 2100
# By then all upstreams are warm.
MEASURE_MS = 2700
SLOW_MS = 200
# Relative to the start of a fault period.
SLOW_STARTS_MS = (50, 400, 750)
FAILING_MS = (100, 400)
RESTART_MS = 500
PROCESSES = 2

ROUTES = """
route, authority, path_prefix, operations, pool, idempotent, tenant, deadline_ms, retry_percent
read,  *,         /,           *,          work, GET,        all,    1000,        20
"""
POOLS = f"""
pool, service, availability_zones, slots, connections, cold_limit, probes_per_s
work, work,    z1 z2 z3 z4,        {SLOTS}, 250,       1,          2
"""
SHARED_CALL = Call('GET', 'any.example', '/x', 1)


def ignore_wake():
    """Do nothing: the run itself resumes a waiting exchange in time."""


class Oracle:
    """Selects by the true state of every worker, as a bound for policies."""

    def __init__(self, node, workers):
        self._zone = node.availability_zone
        self._random = node.random
        self._workers = workers

    def choose(self, candidates, routed, now_ms):
        shuffled = self._random.sample(candidates, len(candidates))
        return min(shuffled, key=self._cost)

    def _cost(self, upstream):
        worker = self._workers[upstream.upstream_id]
        # Requests of this node may not have reached the worker yet.
        busy = max(upstream.in_flight, worker.report().running)
        is_remote = upstream.availability_zone != self._zone
        return (worker.is_impaired, busy, is_remote)


class Run:
    """A run of one policy at one load, from ``nodes`` nodes with one seed.

    A fault period of one second starts at each time in ``faults_ms``.
    """

    def __init__(self, policy, load, nodes, seed, end_ms, faults_ms=()):
        self.clock = VirtualClock()
        self.random = Random(seed)
        self.load = load
        self.end_ms = end_ms
        self.calls = []
        self.workers = {
            f'w{index}': Worker(
                f'w{index}',
                self.clock,
                self.random,
                self._close_connections,
            )
            for index in range(WORKERS)
        }
        for begin_ms in faults_ms:
            self._schedule_faults(Random(seed + 100 + begin_ms), begin_ms)
        self.vm_list = VmList(
            tuple(
                Vm(name, 'work', zone_of(index), '127.0.0.1', 1)
                for index, name in enumerate(self.workers)
            )
            + tuple(
                Vm(f'n{index}', 'figdoor', zone_of(index), '127.0.0.1', 2)
                for index in range(nodes)
            ),
        )
        self.dispatchers = [
            self._make_dispatcher(index, policy) for index in range(nodes)
        ]
        self.nodes = {
            dispatcher.node.node_id: dispatcher.node
            for dispatcher in self.dispatchers
        }
        for node in self.nodes.values():
            node.events.publish(VmListChanged(self.vm_list, 0))
            self.accept(node, 2, POOLS)

    def run(self):
        """Generate calls until the end and wait until all have ended."""
        for at_ms in range(0, self.end_ms, TICK_MS):
            self.clock.at(at_ms, self._tick)
        for at_ms in range(0, self.end_ms, CONFIRM_MS):
            self.clock.at(at_ms, self._confirm)
        self.clock.at(START_MS, self._arrive)
        self.clock.run()
        return self

    def accept(self, node, revision, pools):
        """Put tables in force on a node."""
        tables = read_tables(revision, ROUTES, pools).unwrap()
        node.events.publish(TablesAccepted(tables, self.clock.time_ms))

    def figures(self, begin_ms, end_ms):
        """Return p50, p99, p99.9, and refused and failed calls in percent.

        Only calls that were opened in the interval count.
        """
        calls = [call for call in self.calls if begin_ms <= call[0] < end_ms]
        answered = sorted(
            latency_ms
            for _, outcome, latency_ms in calls
            if outcome is Outcome.ANSWERED
        )
        refused = sum(call[1] is Outcome.NOT_RUN for call in calls)
        return (
            *(
                answered[int(len(answered) * share)]
                for share in (0.5, 0.99, 0.999)
            ),
            100 * refused / len(calls),
            100 * (len(calls) - refused - len(answered)) / len(calls),
        )

    def _make_dispatcher(self, index, policy):
        registry = Registry()
        for register in decision_plugins():
            register(registry)
        registry.provide(Extension.CHOOSER, 'oracle', self._make_oracle)
        node = Node(
            f'n{index}',
            zone_of(index),
            self.clock,
            Random(self.random.random()),
            registry,
            Options(chooser=policy, vm_list_lag_ms=VM_LIST_LAG_MS),
        )
        dispatcher = Dispatcher(node)
        node.parts(Extension.SERVICE)
        node.events.subscribe(
            PeerSendRequested,
            lambda event: self._deliver(node, event),
        )
        return dispatcher

    def _make_oracle(self, node):
        return Oracle(node, self.workers)

    def _schedule_faults(self, random, begin_ms):
        names = list(self.workers)
        for start_ms in SLOW_STARTS_MS:
            for name in random.sample(names, 2):
                slow_ms = begin_ms + start_ms
                self.workers[name].slow.append((slow_ms, slow_ms + SLOW_MS))
        failing, restarting = random.sample(names, 2)
        self.workers[failing].failing.append(
            tuple(begin_ms + at_ms for at_ms in FAILING_MS),
        )
        self.clock.at(begin_ms + RESTART_MS, self.workers[restarting].restart)

    def _close_connections(self, name):
        closed_ms = self.clock.time_ms + REMOTE_ONE_WAY_MS
        for node in self.nodes.values():
            event = ConnectionsClosed(name, closed_ms)
            self.clock.at(closed_ms, node.events.publish, event)

    def _tick(self):
        for node in self.nodes.values():
            node.events.publish(Tick(self.clock.time_ms))

    def _confirm(self):
        for node in self.nodes.values():
            revision = node.tables.revision
            event = ConfigReadSucceeded(self.clock.time_ms, revision)
            node.events.publish(event)

    def _deliver(self, sender, event):
        receiver = self.nodes.get(event.target)
        if receiver is not None:
            self.clock.at(
                self.clock.time_ms + REMOTE_ONE_WAY_MS,
                self._receive,
                receiver,
                sender.node_id,
                event.message,
            )

    def _receive(self, receiver, sender, message):
        now_ms = self.clock.time_ms
        event = PeerMessageReceived(sender, message, now_ms)
        receiver.events.publish(event)

    def _arrive(self):
        now_ms = self.clock.time_ms
        if now_ms >= self.end_ms:
            return
        rate_per_ms = self.load * WORKERS * SLOTS / SERVICE_MEAN_MS
        gap_ms = self.random.expovariate(rate_per_ms)
        self.clock.at(now_ms + gap_ms, self._arrive)
        dispatcher = self.random.choice(self.dispatchers)
        exchange = dispatcher.open(SHARED_CALL, now_ms, ignore_wake)
        zone = dispatcher.node.availability_zone
        self._step(exchange, now_ms, zone)

    def _step(self, exchange, opened_ms, zone):
        now_ms = self.clock.time_ms
        step = exchange.next_step(now_ms)
        if isinstance(step, Finish):
            self._finish(step, opened_ms, failed=False)
        elif isinstance(step, Send):
            self._send(exchange, step, opened_ms, zone)
        else:
            self.clock.at(step.until_ms, self._step, exchange, opened_ms, zone)

    def _send(self, exchange, step, opened_ms, zone):
        now_ms = self.clock.time_ms
        worker = self.workers[step.upstream.upstream_id]
        is_local = step.upstream.availability_zone == zone
        one_way_ms = LOCAL_ONE_WAY_MS if is_local else REMOTE_ONE_WAY_MS

        def receive(attempt, report):
            now_ms = self.clock.time_ms
            if report is not None:
                exchange.report(report, now_ms)
            if attempt.state is AttemptState.ANSWERED:
                exchange.begin_response()
            exchange.end(attempt, now_ms)
            if attempt.failed:
                self._finish(Finish(Outcome.ANSWERED), opened_ms, failed=True)
            else:
                self._step(exchange, opened_ms, zone)

        def respond(attempt, report):
            self.clock.at(
                self.clock.time_ms + one_way_ms, receive, attempt, report
            )

        if worker.is_down:
            # The worker refuses the connection.
            refused = AttemptResult(
                AttemptState.UNSENT_FAILURE,
                connection_died=True,
            )
            self.clock.at(now_ms + 2 * one_way_ms, receive, refused, None)
        elif exchange.confirm_send(now_ms):
            self.clock.at(now_ms + one_way_ms, worker.arrive, respond)
        else:
            self._step(exchange, opened_ms, zone)

    def _finish(self, step, opened_ms, failed):
        outcome = Outcome.UNKNOWN if failed else step.outcome
        latency_ms = self.clock.time_ms - opened_ms
        self.calls.append((opened_ms, outcome, latency_ms))


def decision_plugins():
    """Return the register functions of the decision plug-ins.

    ``--without=limits`` on the command line, for example, omits one.
    """
    points = sorted(
        entry_points(group=PLUGIN_GROUP),
        key=lambda point: point.name,
    )
    return [
        point.load()
        for point in points
        if point.value.startswith('figdoor_decisions')
        and f'--without={point.name}' not in sys.argv
    ]


def run_seeds(measure, cases, seeds):
    """Yield each case with a row of (median, lowest, highest) over seeds.

    ``measure`` takes a case and a seed and returns figures. Runs share no
    state, so they are distributed over two processes.
    """
    with ProcessPoolExecutor(PROCESSES, initializer=gc.freeze) as pool:
        futures = [
            [pool.submit(measure, case, seed) for seed in seeds]
            for case in cases
        ]
        for case, case_futures in zip(cases, futures, strict=True):
            rows = zip(
                *(future.result() for future in case_futures), strict=True
            )
            yield case, [(median(row), min(row), max(row)) for row in rows]


def zone_of(index):
    """Return the zone of a worker or node; zones are assigned evenly."""
    return ZONES[index % len(ZONES)]

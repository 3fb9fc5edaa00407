"""Nodes, upstreams that restart, and a count of what runs where."""

from dataclasses import dataclass, field

from network import TICK_MS, Network
from support import (
    confirm,
    give_tables,
    give_vms,
    make_call,
    node_vm,
    upstream_vm,
)

from figdoor_kernel import (
    AttemptResult,
    AttemptState,
    ConnectionsClosed,
    Dispatcher,
    Extension,
    Finish,
    LoadReport,
    Send,
    UpstreamState,
    Wait,
)

ANSWERED = AttemptResult(AttemptState.ANSWERED)
FAILED = AttemptResult(AttemptState.ANSWERED, failed=True)
TIMED_OUT = AttemptResult(AttemptState.LOST, final=True)
DIED = AttemptResult(AttemptState.LOST, connection_died=True, final=True)
SHED = AttemptResult(AttemptState.SHED, final=True)
COLD_LIMIT = 1
SLOTS = 6
ANSWERS_PER_STEP = 4


@dataclass
class Worker:
    """An upstream as it really is."""

    name: str
    number: int = 1
    answers: int = 0
    running: list = field(default_factory=list)
    peak: int = 0

    @property
    def instance(self):
        return f'{self.name}-{self.number}'

    def bearable(self):
        """Return the most that any sequence of answers could allow."""
        steps = self.answers // (COLD_LIMIT * ANSWERS_PER_STEP)
        limit = COLD_LIMIT * 2**steps
        return limit if limit < SLOTS else float('inf')


class Request:
    """One request of a caller at one node."""

    def __init__(self, fleet, node_id, call, confirms=True):
        self.fleet = fleet
        self.node_id = node_id
        self.worker = None
        self.finish = None
        self.confirms = confirms
        self.waited = False
        self.is_gone = False
        self.sent_to = None
        self.exchange = fleet.dispatchers[node_id].open(
            call,
            fleet.now_ms(),
            self.step,
        )
        self.step()

    def step(self):
        """Go on after a wait, or after an attempt that was not sent."""
        if self.is_gone:
            return
        step = self.exchange.next_step(self.fleet.now_ms())
        if isinstance(step, Finish):
            self.finish = step
        elif isinstance(step, Wait):
            self.waited = True
            delay_s = (step.until_ms - self.fleet.now_ms()) / 1000
            self.fleet.clock.reactor.callLater(delay_s, self._on_time)
        elif isinstance(step, Send):
            self.sent_to = str(step.upstream.upstream_id)
            if self.confirms:
                self.confirm()

    def confirm(self):
        """Send the first byte, where that is still allowed."""
        worker = self.fleet.workers[self.sent_to]
        if self.node_id in self.fleet.network.paused or self.is_gone:
            return
        if self.exchange.confirm_send(self.fleet.now_ms()):
            self.fleet.run(self, worker)
        else:
            self.step()

    def end(self, result=ANSWERED):
        """Let the upstream answer, or fail as ``result`` says."""
        worker = self.worker
        now_ms = self.fleet.now_ms()
        if worker is None:
            return
        self.worker = None
        if result.state is AttemptState.ANSWERED:
            report = LoadReport(worker.instance, len(worker.running))
            self.exchange.report(report, now_ms)
            self.exchange.begin_response()
            worker.answers += not result.failed
        self.exchange.end(result, now_ms)
        if result is TIMED_OUT:
            # It runs on at the upstream, which gives up at the deadline.
            left_ms = self.exchange.routed.deadline_ms - now_ms
            self.fleet.clock.reactor.callLater(
                max(0, left_ms) / 1000,
                self.leave,
                worker,
            )
        else:
            self.leave(worker)
        self.finish = self.exchange.next_step(now_ms)

    def reach_deadline(self):
        """Let the upstream, and then the node, give the request up."""
        if self.worker is not None:
            self.leave(self.worker)
            self.fleet.on_its_node(self.node_id, self.end, TIMED_OUT)

    def leave(self, worker):
        """Stop running at the upstream."""
        if self in worker.running:
            worker.running.remove(self)

    def _on_time(self):
        if self.finish is None and self.worker is None:
            if self.node_id not in self.fleet.network.paused:
                self.step()


class ColdFleet:
    """A network of nodes in front of workers; all of them see one VM list."""

    def __init__(self, nodes=('n1', 'n2', 'n3'), workers=('w1',), **options):
        options = {'vm_list_lag_ms': 1000, **options}
        self.network = Network(
            *nodes,
            direct_updates=True,
            cold_starts=True,
            # Bursts measure what the cold start rules allow by themselves.
            limits=False,
            **options,
        )
        self.clock = self.network.clock
        self.workers = {name: Worker(name) for name in workers}
        self.listed_nodes = list(nodes)
        self.connections = {}
        self.dispatchers = {}
        self.overloads = []
        self.requests = []
        for node_id in nodes:
            self._prepare(node_id)
        self.list_vms()

    def now_ms(self):
        return self.clock.now_ms()

    def list_vms(self, *node_ids, absent=()):
        """Let nodes (all by default) read the VM list."""
        for node_id in node_ids or tuple(self.network.nodes):
            give_vms(
                self.network.nodes[node_id],
                *(upstream_vm(w) for w in self.workers if w not in absent),
                *(node_vm(name) for name in self.listed_nodes),
            )

    def advance_ms(self, total_ms):
        """Let time pass; every node that runs keeps its lease."""
        left_ms = total_ms
        while left_ms > 0:
            step_ms = min(TICK_MS, left_ms)
            self.network.advance_ms(step_ms)
            left_ms -= step_ms
            for name, node in self.network.nodes.items():
                if name not in self.network.paused:
                    confirm(node)

    def pass_ms(self, total_ms):
        """Let time pass in steps of 1 ms, as messages need."""
        for _ in range(total_ms):
            self.network.advance_ms(1)

    def settle(self):
        """Wait until home nodes act."""
        self.advance_ms(1000 + 500 + 1000 + TICK_MS)

    def replace(self, node_id):
        """Replace a node by one with an empty memory."""
        self.network.add(node_id)
        self._prepare(node_id)
        self.connections = {
            key: instance
            for key, instance in self.connections.items()
            if key[0] != node_id
        }
        self.network.paused.pop(node_id, None)
        for request in self.requests:
            if request.node_id == node_id:
                request.is_gone = True
                if request.worker is not None:
                    request.leave(request.worker)
                    request.worker = None
        self.list_vms(node_id)

    def home_of(self, worker, seen_by='n1'):
        homes = self.part(seen_by, Extension.SERVICE, 'homes')
        return str(homes.home_of(worker))

    def others(self, worker):
        """Return all nodes but the home."""
        home = self.home_of(worker)
        return [name for name in self.network.nodes if name != home]

    def part(self, node_id, extension, name):
        return self.network.nodes[node_id].part(extension, name)

    def state(self, node_id, worker='w1'):
        evidence = self.part(node_id, Extension.SERVICE, 'warmth')
        return evidence.record(worker).state.state

    def run(self, request, worker):
        """Count a request that reached an upstream."""
        request.worker = worker
        worker.running.append(request)
        left_ms = request.exchange.routed.deadline_ms - self.now_ms()
        self.clock.reactor.callLater(left_ms / 1000, request.reach_deadline)
        key = (request.node_id, worker.name)
        self.connections[key] = worker.instance
        worker.peak = max(worker.peak, len(worker.running))
        if len(worker.running) > worker.bearable():
            self.overloads.append(
                (self.now_ms(), worker.instance, len(worker.running)),
            )

    def close_connections(self, node_id, worker):
        """Close the connections of one node to an upstream."""
        if self.connections.pop((node_id, worker), None):
            node = self.network.nodes[node_id]
            node.events.publish(ConnectionsClosed(worker, self.now_ms()))

    def restart(self, name):
        """Replace the instance; all its connections close."""
        worker = self.workers[name]
        running = tuple(worker.running)
        worker.running.clear()
        worker.number += 1
        worker.answers = 0
        worker.peak = 0
        for request in running:
            if request.worker is worker:
                self.on_its_node(request.node_id, request.end, DIED)
        for node_id in tuple(self.network.nodes):
            if (node_id, name) in self.connections:
                self.on_its_node(
                    node_id,
                    self.close_connections,
                    node_id,
                    name,
                )

    def serve(self, node_id, result=ANSWERED, **options):
        """Send one request, let it run for 5 ms and end it."""
        request = self.send(node_id, **options)
        self.pass_ms(5)
        if request.worker is not None:
            request.end(result)
        self.pass_ms(2)
        return request

    def warm_up(self, name='w1'):
        """Send one request after another until every node serves."""
        for _ in range(12):
            for node_id in tuple(self.network.nodes):
                self.serve(node_id)
            self.advance_ms(5)
        states = {self.state(node, name) for node in self.network.nodes}
        assert states == {UpstreamState.SERVING}

    def send(self, node_id, confirms=True, **call):
        """Let a caller send a request to a node."""
        request = Request(self, node_id, make_call(**call), confirms)
        self.requests.append(request)
        return request

    def on_its_node(self, node_id, action, *arguments):
        """Let a node see something now, or when its pause ends."""
        waiting = self.network.paused.get(node_id)
        if waiting is None:
            action(*arguments)
        else:
            waiting.append(lambda: action(*arguments))

    def _prepare(self, node_id):
        node = self.network.nodes[node_id]
        give_tables(node)
        self.dispatchers[node_id] = Dispatcher(node)


class ColdFleetSubject:
    """Sets up a fleet whose only upstream is cold."""

    def setup_method(self):
        self.fleet = ColdFleet()
        self.worker = self.fleet.workers['w1']
        self.fleet.settle()
        self.home = self.fleet.home_of('w1')
        self.other, self.third = self.fleet.others('w1')

    def teardown_method(self):
        assert not self.fleet.overloads

    def burst(self, *node_ids, size=5):
        """Send many requests at once; return those that were sent."""
        requests = [
            self.fleet.send(node_id)
            for node_id in node_ids or self.fleet.network.nodes
            for _ in range(size)
        ]
        self.fleet.pass_ms(10)
        return [request for request in requests if request.worker]

    def state(self, node_id):
        return self.fleet.state(node_id)

"""Nodes in front of upstreams that restart and count their requests.

The fleet notes each moment at which an upstream has more requests in flight
than its cold start allows.
"""

from dataclasses import dataclass, field

from network import TICK_MS, Network
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
    """An upstream, independent of what the nodes know about it."""

    name: str
    number: int = 1
    answers: int = 0
    running: list = field(default_factory=list)
    peak: int = 0

    @property
    def instance(self):
        return f'{self.name}-{self.number}'

    def allowed(self):
        """Return the highest limit that these answers can lead to."""
        steps = self.answers // (COLD_LIMIT * ANSWERS_PER_STEP)
        limit = COLD_LIMIT * 2**steps
        return limit if limit < SLOTS else float('inf')


class Request:
    """One request of a caller at one node."""

    def __init__(self, fleet, node_id, call, auto_confirm=True):
        self.fleet = fleet
        self.node_id = node_id
        self.worker = None
        self.finish = None
        self.auto_confirm = auto_confirm
        self.waited = False
        self.is_discarded = False
        self.sent_to = None
        self.exchange = fleet.dispatchers[node_id].open(
            call,
            fleet.now_ms(),
            self.proceed,
        )
        self.proceed()

    def proceed(self):
        """Take the next step, at first and after each wait or unsent attempt."""
        if self.is_discarded:
            return
        step = self.exchange.next_step(self.fleet.now_ms())
        if isinstance(step, Finish):
            self.finish = step
        elif isinstance(step, Wait):
            self.waited = True
            delay_s = (step.until_ms - self.fleet.now_ms()) / 1000
            self.fleet.clock.reactor.callLater(delay_s, self._on_wait_ended)
        elif isinstance(step, Send):
            self.sent_to = str(step.upstream.upstream_id)
            if self.auto_confirm:
                self.confirm()

    def confirm(self):
        """Send the request to the selected upstream if it is still allowed."""
        worker = self.fleet.workers[self.sent_to]
        if self.node_id in self.fleet.network.paused or self.is_discarded:
            return
        if self.exchange.confirm_send(self.fleet.now_ms()):
            self.fleet.start_running(self, worker)
        else:
            self.proceed()

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
            # It still runs at the upstream, which cancels it at the deadline.
            left_ms = self.exchange.routed.deadline_ms - now_ms
            self.fleet.clock.reactor.callLater(
                max(0, left_ms) / 1000,
                self.stop_running,
                worker,
            )
        else:
            self.stop_running(worker)
        self.finish = self.exchange.next_step(now_ms)

    def reach_deadline(self):
        """Let the upstream and then the node cancel the request."""
        if self.worker is not None:
            self.stop_running(self.worker)
            self.fleet.call_on_node(self.node_id, self.end, TIMED_OUT)

    def stop_running(self, worker):
        """Stop running at the upstream, if it does."""
        if self in worker.running:
            worker.running.remove(self)

    def _on_wait_ended(self):
        if self.finish is None and self.worker is None:
            if self.node_id not in self.fleet.network.paused:
                self.proceed()


class ColdFleet:
    """A network of nodes in front of workers, with one VM list for all."""

    def __init__(self, nodes=('n1', 'n2', 'n3'), workers=('w1',), **options):
        options = {'vm_list_lag_ms': 1000, **options}
        self.network = Network(
            *nodes,
            direct_news=True,
            cold_starts=True,
            # Without limits, only the cold start rules bound a burst.
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
            self._set_up(node_id)
        self.list_vms()

    def now_ms(self):
        return self.clock.now_ms()

    def list_vms(self, *node_ids, absent=()):
        """Let nodes (all by default) read the VM list."""
        for node_id in node_ids or tuple(self.network.nodes):
            publish_vm_list(
                self.network.nodes[node_id],
                *(upstream_vm(w) for w in self.workers if w not in absent),
                *(node_vm(name) for name in self.listed_nodes),
            )

    def advance_ms(self, total_ms):
        """Advance in ticks; nodes that are not paused renew their leases."""
        left_ms = total_ms
        while left_ms > 0:
            step_ms = min(TICK_MS, left_ms)
            self.network.advance_ms(step_ms)
            left_ms -= step_ms
            for name, node in self.network.nodes.items():
                if name not in self.network.paused:
                    confirm_config(node)

    def step_ms(self, total_ms):
        """Advance in steps of 1 ms, so that messages arrive in between."""
        for _ in range(total_ms):
            self.network.advance_ms(1)

    def wait_for_owners(self):
        """Advance until owners may act."""
        self.advance_ms(1000 + 500 + 1000 + TICK_MS)

    def replace(self, node_id):
        """Replace a node by a new one without any state."""
        self.network.add(node_id)
        self._set_up(node_id)
        self.connections = {
            key: instance
            for key, instance in self.connections.items()
            if key[0] != node_id
        }
        self.network.paused.pop(node_id, None)
        for request in self.requests:
            if request.node_id == node_id:
                request.is_discarded = True
                if request.worker is not None:
                    request.stop_running(request.worker)
                    request.worker = None
        self.list_vms(node_id)

    def owner_of(self, worker, seen_by='n1'):
        ownership = self.part(seen_by, Extension.SERVICE, 'homes')
        return str(ownership.owner_of(worker))

    def non_owners(self, worker):
        """Return all nodes but the owner of the worker."""
        owner = self.owner_of(worker)
        return [name for name in self.network.nodes if name != owner]

    def part(self, node_id, extension, name):
        return self.network.nodes[node_id].part(extension, name)

    def state(self, node_id, worker='w1'):
        evidence = self.part(node_id, Extension.SERVICE, 'warmth')
        return evidence.record_of(worker).current.state

    def start_running(self, request, worker):
        """Count a request that reached an upstream."""
        request.worker = worker
        worker.running.append(request)
        left_ms = request.exchange.routed.deadline_ms - self.now_ms()
        self.clock.reactor.callLater(left_ms / 1000, request.reach_deadline)
        key = (request.node_id, worker.name)
        self.connections[key] = worker.instance
        worker.peak = max(worker.peak, len(worker.running))
        if len(worker.running) > worker.allowed():
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
                self.call_on_node(request.node_id, request.end, DIED)
        for node_id in tuple(self.network.nodes):
            if (node_id, name) in self.connections:
                self.call_on_node(
                    node_id,
                    self.close_connections,
                    node_id,
                    name,
                )

    def serve(self, node_id, result=ANSWERED, **options):
        """Send one request, let it run for 5 ms and end it."""
        request = self.send(node_id, **options)
        self.step_ms(5)
        if request.worker is not None:
            request.end(result)
        self.step_ms(2)
        return request

    def warm_up(self, name='w1'):
        """Send one request after another until the state is serving on all."""
        for _ in range(12):
            for node_id in tuple(self.network.nodes):
                self.serve(node_id)
            self.advance_ms(5)
        states = {self.state(node, name) for node in self.network.nodes}
        assert states == {UpstreamState.SERVING}

    def send(self, node_id, auto_confirm=True, **call):
        """Let a caller send a request to a node."""
        request = Request(self, node_id, make_call(**call), auto_confirm)
        self.requests.append(request)
        return request

    def call_on_node(self, node_id, action, *arguments):
        """Call ``action`` now, or once the pause of the node ends."""
        delayed = self.network.paused.get(node_id)
        if delayed is None:
            action(*arguments)
        else:
            delayed.append(lambda: action(*arguments))

    def _set_up(self, node_id):
        node = self.network.nodes[node_id]
        publish_tables(node)
        self.dispatchers[node_id] = Dispatcher(node)


class ColdFleetSubject:
    """Sets up a fleet whose only upstream is cold."""

    def setup_method(self):
        self.fleet = ColdFleet()
        self.worker = self.fleet.workers['w1']
        self.fleet.wait_for_owners()
        self.owner = self.fleet.owner_of('w1')
        self.other, self.third = self.fleet.non_owners('w1')

    def teardown_method(self):
        assert not self.fleet.overloads

    def burst(self, *node_ids, size=5):
        """Send many requests at once; return those that were sent."""
        requests = [
            self.fleet.send(node_id)
            for node_id in node_ids or self.fleet.network.nodes
            for _ in range(size)
        ]
        self.fleet.step_ms(10)
        return [request for request in requests if request.worker]

    def state(self, node_id):
        return self.fleet.state(node_id)

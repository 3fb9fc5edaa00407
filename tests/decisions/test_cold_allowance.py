"""No upstream gets more requests than its cold start allows.

Guards against orders of requests, failures, restarts and pauses that let two
nodes use the same part of the allowance.
"""

from cold_fleet import ANSWERED, DIED, FAILED, SHED, TIMED_OUT, ColdFleet
from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

NODES = ('n1', 'n2', 'n3')
WORKERS = ('w1', 'w2')
ENDS = (ANSWERED, ANSWERED, ANSWERED, FAILED, SHED, TIMED_OUT, DIED)

node_ids = strategies.sampled_from(NODES)
workers = strategies.sampled_from(WORKERS)


class ColdStarts(RuleBasedStateMachine):
    """Requests, failures and time, in any order.

    All nodes read a changed VM list within its lag, so that an upstream never
    has two owners that act.
    """

    def __init__(self):
        super().__init__()
        self.fleet = ColdFleet(NODES, WORKERS)
        self.fleet.wait_for_owners()

    @rule(node_id=node_ids, count=strategies.integers(1, 8))
    def send(self, node_id, count):
        if node_id not in self.fleet.network.paused:
            for _ in range(count):
                self.fleet.send(node_id)
            self.fleet.step_ms(3)

    @rule(node_id=node_ids)
    def select_only(self, node_id):
        if node_id not in self.fleet.network.paused:
            self.fleet.send(node_id, auto_confirm=False)
            self.fleet.step_ms(3)

    @rule()
    def send_selected(self):
        for request in self.fleet.requests:
            if not request.auto_confirm and request.sent_to:
                if request.worker is None and request.finish is None:
                    request.confirm()

    @rule(result=strategies.sampled_from(ENDS), count=strategies.integers(1, 9))
    def end(self, result, count):
        for request in [
            request
            for worker in self.fleet.workers.values()
            for request in worker.running
            if request.node_id not in self.fleet.network.paused
        ][:count]:
            request.end(result)
        self.fleet.step_ms(3)

    @rule(node_id=node_ids, count=strategies.integers(1, 15))
    def serve_many(self, node_id, count):
        if node_id not in self.fleet.network.paused:
            for _ in range(count):
                self.fleet.serve(node_id)

    @rule(count=strategies.integers(2, 5))
    def burst(self, count):
        for _ in range(count):
            for node_id in NODES:
                if node_id not in self.fleet.network.paused:
                    self.fleet.send(node_id)
        self.fleet.step_ms(6)

    @rule(total_ms=strategies.sampled_from((5, 50, 400, 600, 1500, 3000)))
    def wait(self, total_ms):
        self.fleet.advance_ms(total_ms)

    # One rule for all disruptions: with a rule for each of them there would be
    # no time in which owners act and upstreams warm up.
    @rule(
        disruption=strategies.sampled_from(
            (
                'restart',
                'close_idle',
                'pause',
                'resume',
                'split_off',
                'heal',
                'replace',
                'change_vm_list',
            ),
        ),
        node_id=node_ids,
        name=workers,
    )
    def disrupt(self, disruption, node_id, name):
        getattr(self, disruption)(node_id, name)

    def restart(self, node_id, name):
        self.fleet.restart(name)

    def close_idle(self, node_id, name):
        is_idle = all(
            request.node_id != node_id
            for request in self.fleet.workers[name].running
        )
        if is_idle and node_id not in self.fleet.network.paused:
            self.fleet.close_connections(node_id, name)

    def pause(self, node_id, name):
        if node_id not in self.fleet.network.paused:
            self.fleet.network.pause(node_id)

    def resume(self, node_id, name):
        for paused in tuple(self.fleet.network.paused):
            self.fleet.network.resume(paused)

    def split_off(self, node_id, name):
        others = [other for other in NODES if other != node_id]
        self.fleet.network.split([node_id], others)

    def heal(self, node_id, name):
        self.fleet.network.heal()

    def replace(self, node_id, name):
        self.fleet.replace(node_id)

    def change_vm_list(self, node_id, name):
        listed = set(self.fleet.listed_nodes) ^ {node_id}
        self.fleet.listed_nodes = sorted(listed or {node_id})
        self.fleet.call_on_node(node_id, self.fleet.list_vms, node_id)
        self.fleet.advance_ms(800)
        for other in NODES:
            self.fleet.call_on_node(other, self.fleet.list_vms, other)

    @invariant()
    def allowance_is_kept(self):
        assert not self.fleet.overloads


ColdStarts.TestCase.settings = settings(
    max_examples=150,
    stateful_step_count=50,
)
TestColdStarts = ColdStarts.TestCase

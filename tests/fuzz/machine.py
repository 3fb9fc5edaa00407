"""Operators, callers and failures in any order, against the oracle."""

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    rule,
    run_state_machine_as_test,
)
from oracle import PROMISES
from world import World

NODES = st.sampled_from(['n1', 'n2', 'n3'])
WORKERS = st.sampled_from(['w1', 'w2', 'w3', 'w4'])
ZONES = st.sampled_from([('z1', 'z2'), ('z1',), ('z2',)])
FATES = st.sampled_from(
    ['ok', 'ok', 'ok', 'fail', 'lost', 'shed', 'late', 'hang']
)
OPERATIONS = st.sampled_from(['GET', 'POST'])
EXAMPLES = 150
STEPS = 30


class FleetMachine(RuleBasedStateMachine):
    """Three nodes, four workers, one platform."""

    promises = PROMISES

    def __init__(self):
        super().__init__()
        self.world = World()

    @rule(node=NODES, operation=OPERATIONS, fate=FATES, count=st.integers(1, 6))
    def send_calls(self, node, operation, fate, count):
        for _ in range(count):
            self.world.call(node, operation, fate)
        self.world.advance_ms(20)

    @rule(operation=OPERATIONS, rounds=st.integers(1, 8))
    def send_calls_everywhere(self, operation, rounds):
        for _ in range(rounds):
            for node in ('n1', 'n2', 'n3'):
                self.world.call(node, operation, 'ok')
            self.world.advance_ms(20)

    @rule(delay_ms=st.sampled_from([100, 500, 1000, 3100, 6000]))
    def let_time_pass(self, delay_ms):
        self.world.advance_ms(delay_ms)
        for node in ('n1', 'n2', 'n3'):
            for _ in range(3):
                self.world.call(node, 'GET', 'ok')
        self.world.advance_ms(20)

    @rule(worker=WORKERS)
    def restart_worker(self, worker):
        self.world.restart(self.world.workers[worker])

    @rule(worker=WORKERS)
    def turn_cold_silently(self, worker):
        self.world.turn_cold(self.world.workers[worker])

    @rule(worker=WORKERS)
    def drain_worker(self, worker):
        self.world.drain(self.world.workers[worker])

    @rule(zones=ZONES)
    def publish_zones(self, zones):
        if self.world.service_up and not self.world.served_revision:
            self.world.publish(set(zones))

    @rule(node=NODES, zones=ZONES)
    def publish_behind_the_back_of(self, node, zones):
        """Cut a node off from everything and change the tables."""
        self.split_off(node)
        self.world.cut_from_service = {node}
        self.publish_zones(zones)
        self.let_time_pass(3100)

    @rule(node=NODES)
    def split_off(self, node):
        self.world.had_disturbed_links = True
        others = [name for name in ('n1', 'n2', 'n3') if name != node]
        self.world.network.split([node], others)

    @rule()
    def heal(self):
        self.world.network.heal()
        self.world.cut_from_service.clear()
        self.world.served_stale.clear()

    @rule(cut=st.sets(NODES), stale=st.sets(NODES))
    def limit_reach_of_service(self, cut, stale):
        """Cut some nodes off from the service, serve others an old value."""
        self.world.had_partial_reach = True
        self.world.cut_from_service = cut
        self.world.served_stale = stale

    @rule(node=NODES, alone_reads=st.booleans(), zones=ZONES)
    def publish_to_one_part(self, node, alone_reads, zones):
        """Split, and let one part read a change that the other cannot.

        The other part cannot reach the service, or is served an old value.
        """
        others = {'n1', 'n2', 'n3'} - {node}
        unreached = others if alone_reads else {node}
        self.split_off(node)
        self.limit_reach_of_service(unreached, set())
        self.publish_zones(zones)
        self.let_time_pass(3100)
        self.limit_reach_of_service(set(), unreached)
        self.let_time_pass(3100)

    @rule(node=NODES)
    def cut_from_platform(self, node):
        self.world.cut_from_service = {node}

    @rule(up=st.booleans())
    def switch_platform(self, up):
        # Let what was published just before an outage be read by a node.
        self.world.advance_ms(500)
        self.world.service_up = up

    @rule(stale=st.booleans())
    def serve_stale_tables(self, stale):
        self.world.advance_ms(500)
        self.world.served_revision = 1 if stale else None

    @rule(node=NODES)
    def pause(self, node):
        self.world.had_disturbed_links = True
        self.world.network.paused.setdefault(node, [])

    @rule(node=NODES)
    def resume(self, node):
        if node in self.world.network.paused:
            self.world.network.resume(node)

    @rule(node=NODES)
    def replace_node(self, node):
        self.world.replace_node(node)

    @rule(node=NODES, fate=FATES)
    def stop_node(self, node, fate):
        self.world.stop_node(node)
        self.world.call(node, 'POST', fate)
        self.world.advance_ms(500)

    def teardown(self):
        for name in tuple(self.world.network.paused):
            self.world.network.resume(name)
        self.world.advance_ms(2500)
        for promise in self.promises:
            promise(self.world)


def run_machine(machine, examples=EXAMPLES, phases=tuple(Phase)):
    """Run a machine with the same examples on every run."""
    run_state_machine_as_test(
        machine,
        settings=settings(
            settings.get_profile('ci'),
            max_examples=examples,
            stateful_step_count=STEPS,
            phases=phases,
        ),
    )

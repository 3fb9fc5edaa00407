"""Generates changes, calls and failures in any order for the oracle."""

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    rule,
    run_state_machine_as_test,
)
from oracle import PROMISES
from simulation import Simulation

NODES = st.sampled_from(['n1', 'n2', 'n3'])
WORKERS = st.sampled_from(['w1', 'w2', 'w3', 'w4'])
ZONES = st.sampled_from([('z1', 'z2'), ('z1',), ('z2',)])
ENDINGS = st.sampled_from(
    ['ok', 'ok', 'ok', 'fail', 'lost', 'shed', 'late', 'hang']
)
OPERATIONS = st.sampled_from(['GET', 'POST'])
EXAMPLES = 150
STEPS = 30


class FleetMachine(RuleBasedStateMachine):
    """Drives a simulation of three nodes, four workers and one platform."""

    promises = PROMISES

    def __init__(self):
        super().__init__()
        self.simulation = Simulation()

    @rule(
        node=NODES,
        operation=OPERATIONS,
        ending=ENDINGS,
        count=st.integers(1, 6),
    )
    def send_calls(self, node, operation, ending, count):
        for _ in range(count):
            self.simulation.call(node, operation, ending)
        self.simulation.advance_ms(20)

    @rule(operation=OPERATIONS, rounds=st.integers(1, 8))
    def send_calls_everywhere(self, operation, rounds):
        for _ in range(rounds):
            for node in ('n1', 'n2', 'n3'):
                self.simulation.call(node, operation, 'ok')
            self.simulation.advance_ms(20)

    @rule(delay_ms=st.sampled_from([100, 500, 1000, 3100, 6000]))
    def let_time_pass(self, delay_ms):
        self.simulation.advance_ms(delay_ms)
        for node in ('n1', 'n2', 'n3'):
            for _ in range(3):
                self.simulation.call(node, 'GET', 'ok')
        self.simulation.advance_ms(20)

    @rule(worker=WORKERS)
    def restart_worker(self, worker):
        self.simulation.restart(self.simulation.workers[worker])

    @rule(worker=WORKERS)
    def turn_cold_silently(self, worker):
        self.simulation.turn_cold(self.simulation.workers[worker])

    @rule(worker=WORKERS)
    def drain_worker(self, worker):
        self.simulation.drain(self.simulation.workers[worker])

    @rule(zones=ZONES)
    def publish_zones(self, zones):
        if self.simulation.service_up and not self.simulation.served_revision:
            self.simulation.publish(set(zones))

    @rule(node=NODES, zones=ZONES)
    def publish_while_isolated(self, node, zones):
        """Change the tables while a node reaches neither peers nor platform."""
        self.split_off(node)
        self.simulation.nodes_without_service = {node}
        self.publish_zones(zones)
        self.let_time_pass(3100)

    @rule(node=NODES)
    def split_off(self, node):
        self.simulation.had_disturbed_links = True
        others = [name for name in ('n1', 'n2', 'n3') if name != node]
        self.simulation.network.split([node], others)

    @rule()
    def heal(self):
        self.simulation.network.heal()
        self.simulation.nodes_without_service.clear()
        self.simulation.nodes_served_stale.clear()

    @rule(disconnected=st.sets(NODES), stale=st.sets(NODES))
    def limit_service_reach(self, disconnected, stale):
        """Keep some nodes from the service, and serve others stale tables."""
        self.simulation.had_partial_reach = True
        self.simulation.nodes_without_service = disconnected
        self.simulation.nodes_served_stale = stale

    @rule(node=NODES, alone_reads=st.booleans(), zones=ZONES)
    def publish_to_one_part(self, node, alone_reads, zones):
        """Split the network, and let only one part read a change.

        The other part first cannot reach the service and then gets stale
        tables from it.
        """
        others = {'n1', 'n2', 'n3'} - {node}
        unreached = others if alone_reads else {node}
        self.split_off(node)
        self.limit_service_reach(unreached, set())
        self.publish_zones(zones)
        self.let_time_pass(3100)
        self.limit_service_reach(set(), unreached)
        self.let_time_pass(3100)

    @rule(node=NODES)
    def disconnect_from_platform(self, node):
        self.simulation.nodes_without_service = {node}

    @rule(up=st.booleans())
    def switch_platform(self, up):
        # Gives the nodes time to read tables published just before an outage.
        self.simulation.advance_ms(500)
        self.simulation.service_up = up

    @rule(stale=st.booleans())
    def serve_stale_tables(self, stale):
        self.simulation.advance_ms(500)
        self.simulation.served_revision = 1 if stale else None

    @rule(node=NODES)
    def pause(self, node):
        self.simulation.had_disturbed_links = True
        self.simulation.network.paused.setdefault(node, [])

    @rule(node=NODES)
    def resume(self, node):
        if node in self.simulation.network.paused:
            self.simulation.network.resume(node)

    @rule(node=NODES)
    def replace_node(self, node):
        self.simulation.replace_node(node)

    @rule(node=NODES, ending=ENDINGS)
    def stop_node(self, node, ending):
        self.simulation.stop_node(node)
        self.simulation.call(node, 'POST', ending)
        self.simulation.advance_ms(500)

    def teardown(self):
        for name in tuple(self.simulation.network.paused):
            self.simulation.network.resume(name)
        self.simulation.advance_ms(2500)
        for promise in self.promises:
            promise(self.simulation)


def run_machine(machine, examples=EXAMPLES, phases=tuple(Phase)):
    """Run a state machine with the same examples on every run."""
    run_state_machine_as_test(
        machine,
        settings=settings(
            settings.get_profile('ci'),
            max_examples=examples,
            stateful_step_count=STEPS,
            phases=phases,
        ),
    )

"""Tables under random sequences of changes, splits, pauses and restarts."""

from config_fleet import holds_lease, offer, revision_of, running_fleet
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule


class ConfigMachine(RuleBasedStateMachine):
    """Random changes, stale reads, splits, pauses and restarts of nodes.

    Guards against a node that goes back to an older revision, and against a
    fleet that does not agree on the newest one once all links work again.
    """

    def __init__(self):
        super().__init__()
        self.fleet = running_fleet(5, revision=1)
        self.newest = 1
        self.highest = dict.fromkeys(self.fleet.names, 1)

    @rule(node=st.integers(0, 4), is_stale=st.booleans())
    def read_service(self, node, is_stale):
        name = f'n{node}'
        if name in self.fleet.network.paused:
            return
        if not is_stale:
            self.newest += 1
        offer(self.fleet[name], 1 if is_stale else self.newest)

    @rule(size=st.integers(0, 4))
    def split(self, size):
        names = self.fleet.names
        self.fleet.network.split(names[:size], names[size:])

    @rule()
    def heal(self):
        self.fleet.network.heal()

    @rule(node=st.integers(0, 4))
    def pause_or_resume(self, node):
        name = f'n{node}'
        network = self.fleet.network
        if name in network.paused:
            network.resume(name)
        else:
            network.pause(name)

    @rule(duration_ms=st.integers(1, 4000))
    def wait(self, duration_ms):
        self.fleet.network.advance_ms(duration_ms)

    @rule()
    def settle(self):
        """Restore all links: each node must have the newest tables in 3 s.

        A node that restarts then, with a stale service, must get them too.
        """
        network = self.fleet.network
        network.heal()
        for name in tuple(network.paused):
            network.resume(name)
        network.advance_ms(3000)
        newest = max(self.fleet.revisions())
        assert self.fleet.revisions() == {newest}
        assert all(map(holds_lease, network.nodes.values()))
        node = self.fleet.restart('n0')
        self.highest['n0'] = newest
        offer(node, 1)
        network.advance_ms(1500)
        assert revision_of(node) == newest

    @invariant()
    def no_node_reverts(self):
        for name, highest in self.highest.items():
            revision = revision_of(self.fleet[name]) or highest
            assert revision >= highest
            self.highest[name] = revision


TestConfigMachine = ConfigMachine.TestCase
TestConfigMachine.settings = settings(
    max_examples=40,
    stateful_step_count=20,
)

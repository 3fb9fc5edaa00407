"""A fleet on a simulated network, for tests of the spread of tables."""

from network import Network
from support import POOLS, ROUTES

from figdoor_kernel import ConfigReadSucceeded, Extension, TablesOffered


def offer(node, revision):
    """Simulate a read of the configuration service at this revision."""
    now_ms = node.clock.now_ms()
    node.events.publish(TablesOffered(revision, ROUTES, POOLS, now_ms))
    node.events.publish(ConfigReadSucceeded(now_ms, revision))


def revision_of(node):
    return node.tables.revision if node.tables else 0


def part(node, name):
    return node.part(Extension.SERVICE, name)


def holds_lease(node):
    return part(node, 'config-lease').holds(node.clock.now_ms())


class Fleet:
    """Nodes that fetch newer tables from each other, as with real transport."""

    def __init__(self, size, **options):
        self.names = [f'n{number}' for number in range(size)]
        self.network = Network(*self.names, **options)
        self.network.list_nodes(*self.names)

    def restart(self, name):
        """Replace a node by one without state."""
        self.network.add(name)
        self.network.list_nodes(*self.names, readers=[name])
        return self[name]

    def offer_all(self, revision):
        for node in self.network.nodes.values():
            offer(node, revision)

    def revisions(self):
        return {revision_of(node) for node in self.network.nodes.values()}

    def __getitem__(self, name):
        return self.network.nodes[name]


def running_fleet(size, revision=5, **options):
    fleet = Fleet(size, **options)
    fleet.offer_all(revision)
    fleet.network.advance_ms(1500)
    assert fleet.revisions() == {revision}
    return fleet

"""Nodes without I/O, built from the installed decision plug-ins."""

from functools import partial

from figdoor_kernel import Clock, Extension, Node, load_plugins
from figdoor_traces._choices import RecordedChoices, ReplayRandom
from figdoor_traces._format import Header
from figdoor_traces._seeding import TraceRandom, is_recorded

DECISIONS = 'figdoor_decisions'


class VirtualClock:
    """A clock that shows the time of the line that is replayed."""

    def __init__(self) -> None:
        """Create a clock that shows 0."""
        self.at_ms: float = 0

    def now_ms(self) -> float:
        """Return the time of the current line."""
        return self.at_ms


def build_node(header: Header, clock: Clock, choices: RecordedChoices) -> Node:
    """Return the node that a header describes, with all parts built.

    Services are built first, as in a gateway, so that parts that draw random
    numbers in their constructor draw the same ones.
    """
    random = ReplayRandom(header.seed, choices)
    node = Node(
        header.node,
        header.availability_zone,
        clock,
        random,
        load_plugins(DECISIONS),
        header.options,
    )
    node.parts(Extension.SERVICE)
    for extension in node.registry.factories():
        if extension is not Extension.CHOOSER:
            node.parts(extension)
    if header.recorded:
        node.events.observe(partial(_reseed, random))
    return node


def start_services(node: Node) -> None:
    """Start all services in the order of a gateway."""
    for service in node.parts(Extension.SERVICE):
        service.start()


def _reseed(random: TraceRandom, event: object) -> None:
    if is_recorded(event):
        random.reseed()

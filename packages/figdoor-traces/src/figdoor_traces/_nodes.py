"""A node without I/O, with the installed decision plug-ins."""

from figdoor_kernel import Clock, Extension, Node, load_plugins
from figdoor_traces._format import Header
from figdoor_traces._guidance import Guide, GuidedRandom

DECISIONS = 'figdoor_decisions'


class VirtualClock:
    """Shows the time of the line that is replayed."""

    def __init__(self) -> None:
        """Start at zero."""
        self.at_ms: float = 0

    def now_ms(self) -> float:
        """Return the time of the current line."""
        return self.at_ms


def build_node(header: Header, clock: Clock, guide: Guide) -> Node:
    """Return the node that a header describes, with all parts built."""
    node = Node(
        header.node,
        header.availability_zone,
        clock,
        GuidedRandom(header.seed, guide),
        load_plugins(DECISIONS),
        header.options,
    )
    for extension in node.registry.factories():
        if extension is not Extension.CHOOSER:
            node.parts(extension)
    return node


def start_services(node: Node) -> None:
    """Start all services, as a gateway does."""
    for service in node.parts(Extension.SERVICE):
        service.start()

"""The edges along which a node exchanges messages."""

from figdoor_decisions.membership._ring import neighbours_of
from figdoor_kernel import (
    Heartbeat,
    Node,
    NodeId,
    PeerMessageReceived,
    Service,
    VmListChanged,
)

# With more neighbours than this, each beat goes to one half of them. Half of
# the neighbours still acknowledge each beat, which is what a lease needs.
BEAT_NEIGHBOURS = 5
HEARD_HEARTBEATS = 4
MAX_HEARD = 64


class Neighbours(Service):
    """Knows the neighbours on the ring and the nodes that send heartbeats.

    A node that has just started is on its own ring but perhaps on none of the
    rings of the others. News therefore also goes back along the edges on
    which heartbeats arrive.
    """

    def __init__(self, node: Node) -> None:
        """Follow the VM list and arriving heartbeats."""
        self._node = node
        self._heard_ms: dict[NodeId, float] = {}
        self.listed = False
        self.on_ring: tuple[NodeId, ...] = ()
        node.events.subscribe(VmListChanged, self._on_vm_list)
        node.events.subscribe(PeerMessageReceived, self._on_message)

    @property
    def turns(self) -> int:
        """The number of beats in which each neighbour gets one heartbeat."""
        return 2 if len(self.on_ring) > BEAT_NEIGHBOURS else 1

    @property
    def interval_ms(self) -> float:
        """The time between two heartbeats to the same neighbour."""
        return self.turns * self._node.options.heartbeat_ms

    def edges(self, now_ms: float) -> tuple[NodeId, ...]:
        """Return all nodes that news is sent to."""
        oldest_ms = now_ms - HEARD_HEARTBEATS * self.interval_ms
        heard = (
            peer
            for peer, heard_ms in self._heard_ms.items()
            if heard_ms >= oldest_ms and peer not in self.on_ring
        )
        return (*self.on_ring, *heard)

    def _on_vm_list(self, event: VmListChanged) -> None:
        own = self._node.node_id
        listed = [NodeId(vm.vm_id) for vm in self._node.fleet.nodes()]
        self.listed = own in listed
        self.on_ring = neighbours_of(own, listed)

    def _on_message(self, event: PeerMessageReceived) -> None:
        if isinstance(event.message, Heartbeat):
            self._heard_ms.pop(event.sender, None)
            self._heard_ms[event.sender] = event.now_ms
            while len(self._heard_ms) > MAX_HEARD:
                self._heard_ms.pop(next(iter(self._heard_ms)))

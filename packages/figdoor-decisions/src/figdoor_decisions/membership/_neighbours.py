"""The peers with which a node exchanges messages."""

from figdoor_decisions.membership._ring import neighbours_of
from figdoor_kernel import (
    Heartbeat,
    Node,
    NodeId,
    PeerMessageReceived,
    Service,
    VmListChanged,
)

# With more neighbours than this, each heartbeat round goes to only half of them:
# a lease needs no more than the acknowledgements of half of the neighbours.
GROUPING_THRESHOLD = 5
SENDER_EXPIRY_HEARTBEATS = 4
MAX_SENDERS = 64


class Neighbours(Service):
    """Keeps the neighbours on the ring and the senders of recent heartbeats.

    A node that has just started may be missing from the VM lists of the other
    nodes, and thus from their rings. Updates therefore also go to nodes from
    which heartbeats arrive.
    """

    def __init__(self, node: Node) -> None:
        """Subscribe to VM lists and to messages of peers."""
        self._node = node
        self._received_ms: dict[NodeId, float] = {}
        self.is_listed = False
        self.on_ring: tuple[NodeId, ...] = ()
        node.events.subscribe(VmListChanged, self._on_vm_list)
        node.events.subscribe(PeerMessageReceived, self._on_message)

    @property
    def group_count(self) -> int:
        """The number of groups; each heartbeat round goes to one of them."""
        return 2 if len(self.on_ring) > GROUPING_THRESHOLD else 1

    @property
    def interval_ms(self) -> float:
        """The time between two heartbeats to the same neighbour."""
        return self.group_count * self._node.options.heartbeat_ms

    def peers(self, now_ms: float) -> tuple[NodeId, ...]:
        """Return the ring neighbours and other recent senders of heartbeats."""
        oldest_ms = now_ms - SENDER_EXPIRY_HEARTBEATS * self.interval_ms
        senders = (
            peer
            for peer, received_ms in self._received_ms.items()
            if received_ms >= oldest_ms and peer not in self.on_ring
        )
        return (*self.on_ring, *senders)

    def _on_vm_list(self, event: VmListChanged) -> None:
        own = self._node.node_id
        node_ids = [NodeId(vm.vm_id) for vm in self._node.fleet.nodes()]
        self.is_listed = own in node_ids
        self.on_ring = neighbours_of(own, node_ids)

    def _on_message(self, event: PeerMessageReceived) -> None:
        if isinstance(event.message, Heartbeat):
            self._received_ms.pop(event.sender, None)
            self._received_ms[event.sender] = event.now_ms
            while len(self._received_ms) > MAX_SENDERS:
                self._received_ms.pop(next(iter(self._received_ms)))

"""The nodes of the fleet, learned from seeds and from each other."""

from dataclasses import dataclass

from figdoor_kernel import (
    FIGDOOR_SERVICE,
    Digest,
    MembersChanged,
    Node,
    NodeId,
    PeerMessageReceived,
    Service,
    StopNotice,
    Tick,
    Vm,
    VmId,
)

# News of a node reaches all others of a hundred in about five rounds of
# random exchanges, which take 15 s.
MEMBER_EXPIRY_MS = 20_000.0
# Rows that fit into one datagram beside the rest of a digest.
MAX_ROWS = 8
# The fleet may grow by a quarter before every node has heard of it.
GROWTH_MARGIN = 1.25


def fleet_size(node: Node) -> int:
    """Return the number of nodes among which shared budgets are divided.

    It is never smaller than ``fleet_nodes`` of the settings, so that the
    parts of a split and nodes that have just started spend no more.
    """
    known = GROWTH_MARGIN * len(node.fleet.nodes())
    return max(node.options.fleet_nodes, int(known))


@dataclass(slots=True)
class _Member:
    """One node and when it was last heard of, by anybody."""

    vm: Vm
    heard_ms: float


class Members(Service):
    """Keeps every node that somebody has heard of lately.

    What is passed on is how long ago a node was heard of. That age only
    grows on its way, so that no exchange keeps a dead node alive.
    """

    def __init__(self, node: Node) -> None:
        """Know only the node itself."""
        self._node = node
        host, _, port = node.options.peer_address.rpartition(':')
        self._own = Vm(
            VmId(node.node_id),
            FIGDOOR_SERVICE,
            node.availability_zone,
            host,
            int(port or 0),
        )
        self._others: dict[NodeId, _Member] = {}
        node.events.subscribe(PeerMessageReceived, self._on_message)
        node.events.subscribe(Tick, self._on_tick)

    def start(self) -> None:
        """Tell all parts that this node runs."""
        self._publish(self._node.clock.now_ms())

    @property
    def others(self) -> tuple[NodeId, ...]:
        """All nodes but this one, in the order in which they were found."""
        return tuple(self._others)

    def addresses(self) -> frozenset[str]:
        """Return where other nodes are, as ``host:port``."""
        return frozenset(
            f'{member.vm.host}:{member.vm.port}'
            for member in self._others.values()
        )

    def rows(self, now_ms: float) -> tuple[tuple[Vm, ...], tuple[int, ...]]:
        """Return this node and some others, with their ages."""
        names = list(self._others)
        count = min(MAX_ROWS - 1, len(names))
        chosen = [
            self._others[name]
            for name in self._node.random.sample(names, count)
        ]
        rows = (self._own, *(member.vm for member in chosen))
        ages = (int(max(0, now_ms - one.heard_ms)) for one in chosen)
        return rows, (0, *ages)

    def own_row(self) -> tuple[Vm, ...]:
        """Return this node alone."""
        return (self._own,)

    def _on_message(self, event: PeerMessageReceived) -> None:
        match event.message:
            case StopNotice():
                if self._others.pop(event.sender, None) is not None:
                    self._publish(event.now_ms)
            case Digest(members=members, ages_ms=ages_ms):
                self._take(members, ages_ms, event.now_ms)

    def _take(
        self,
        rows: tuple[Vm, ...],
        ages_ms: tuple[int, ...],
        now_ms: float,
    ) -> None:
        changed = [
            self._note(vm, now_ms - age_ms)
            for vm, age_ms in zip(rows, ages_ms, strict=False)
            if age_ms <= MEMBER_EXPIRY_MS
        ]
        if any(changed):
            self._publish(now_ms)

    def _note(self, vm: Vm, heard_ms: float) -> bool:
        """Note when a node was heard of; return whether its row changed."""
        node_id = NodeId(vm.vm_id)
        if node_id == self._node.node_id:
            return False
        member = self._others.get(node_id)
        if member is None:
            self._others[node_id] = _Member(vm, heard_ms)
            return True
        if heard_ms <= member.heard_ms:
            return False
        is_changed = member.vm != vm
        member.vm = vm
        member.heard_ms = heard_ms
        return is_changed

    def _on_tick(self, event: Tick) -> None:
        oldest_ms = event.now_ms - MEMBER_EXPIRY_MS
        expired = [
            name
            for name, member in self._others.items()
            if member.heard_ms < oldest_ms
        ]
        for name in expired:
            self._others.pop(name)
        if expired:
            self._publish(event.now_ms)

    def _publish(self, now_ms: float) -> None:
        rows = (self._own, *(one.vm for one in self._others.values()))
        self._node.events.publish(MembersChanged(rows, now_ms))

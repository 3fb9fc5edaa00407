"""The running nodes of the fleet, learned from seeds and from peers."""

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

# In a fleet of 100 nodes, information about a member reaches all others in about
# five rounds of random exchanges, which take 15 s.
MEMBER_EXPIRY_MS = 20_000.0
# Members that fit into one datagram with the rest of a digest.
MAX_DIGEST_MEMBERS = 8
# The fleet may grow by 25 % before every node knows of it.
GROWTH_MARGIN = 1.25
# Above this number of members, changes are published together, at most once per
# interval: each publication costs a time that grows with the fleet, and while
# hundreds of nodes start, each digest names new members.
MAX_IMMEDIATE = 16
PUBLISH_INTERVAL_MS = 200.0


def fleet_size(node: Node) -> int:
    """Return the number of nodes by which budgets of the fleet are divided.

    It is at least ``fleet_nodes`` of the settings: after a split and at its
    start a node knows of too few members and would use too large a share.
    """
    expected = GROWTH_MARGIN * len(node.fleet.nodes())
    return max(node.options.fleet_nodes, int(expected))


@dataclass(slots=True)
class _Member:
    """Another node, and when any node last received a message from it."""

    vm: Vm
    last_seen_ms: float


class Members(Service):
    """Keeps every node from which any node recently received a message.

    Digests carry the time since the last message of each member. That age only
    grows from node to node, so that exchanges cannot keep a dead node listed.
    """

    def __init__(self, node: Node) -> None:
        """Start without other members; subscribe to messages and ticks."""
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
        self._is_changed = False
        self._published_ms = float('-inf')
        node.events.subscribe(PeerMessageReceived, self._on_message)
        node.events.subscribe(Tick, self._on_tick)

    def start(self) -> None:
        """Publish the members, at first only this node."""
        self._publish(self._node.clock.now_ms())

    @property
    def others(self) -> tuple[NodeId, ...]:
        """All members except this node, in the order of discovery."""
        return tuple(self._others)

    def addresses(self) -> frozenset[str]:
        """Return the addresses of the other members, as ``host:port``."""
        return frozenset(
            f'{member.vm.host}:{member.vm.port}'
            for member in self._others.values()
        )

    def sample(self, now_ms: float) -> tuple[tuple[Vm, ...], tuple[int, ...]]:
        """Return this node and a random sample of others, with their ages."""
        node_ids = list(self._others)
        count = min(MAX_DIGEST_MEMBERS - 1, len(node_ids))
        chosen = [
            self._others[node_id]
            for node_id in self._node.random.sample(node_ids, count)
        ]
        rows = (self._own, *(member.vm for member in chosen))
        ages = (int(max(0, now_ms - member.last_seen_ms)) for member in chosen)
        return rows, (0, *ages)

    def own_row(self) -> tuple[Vm, ...]:
        """Return only this node, as the members of a digest."""
        return (self._own,)

    def _on_message(self, event: PeerMessageReceived) -> None:
        match event.message:
            case StopNotice():
                if self._others.pop(event.sender, None) is not None:
                    self._announce(event.now_ms)
            case Digest(members=members, ages_ms=ages_ms):
                self._merge(members, ages_ms, event.now_ms)

    def _merge(
        self,
        rows: tuple[Vm, ...],
        ages_ms: tuple[int, ...],
        now_ms: float,
    ) -> None:
        changed = [
            self._record(vm, now_ms - age_ms)
            for vm, age_ms in zip(rows, ages_ms, strict=False)
            if age_ms <= MEMBER_EXPIRY_MS
        ]
        if any(changed):
            self._announce(now_ms)

    def _record(self, vm: Vm, last_seen_ms: float) -> bool:
        """Record when a node was last seen; return whether its row changed."""
        node_id = NodeId(vm.vm_id)
        if node_id == self._node.node_id:
            return False
        member = self._others.get(node_id)
        if member is None:
            self._others[node_id] = _Member(vm, last_seen_ms)
            return True
        if last_seen_ms <= member.last_seen_ms:
            return False
        is_changed = member.vm != vm
        member.vm = vm
        member.last_seen_ms = last_seen_ms
        return is_changed

    def _on_tick(self, event: Tick) -> None:
        oldest_ms = event.now_ms - MEMBER_EXPIRY_MS
        expired = [
            node_id
            for node_id, member in self._others.items()
            if member.last_seen_ms < oldest_ms
        ]
        for node_id in expired:
            self._others.pop(node_id)
        if expired or self._is_changed:
            self._announce(event.now_ms)

    def _announce(self, now_ms: float) -> None:
        """Publish the members now, or with a later tick."""
        is_small = len(self._others) <= MAX_IMMEDIATE
        if is_small or now_ms - self._published_ms >= PUBLISH_INTERVAL_MS:
            self._publish(now_ms)
        else:
            self._is_changed = True

    def _publish(self, now_ms: float) -> None:
        self._is_changed = False
        self._published_ms = now_ms
        rows = (self._own, *(member.vm for member in self._others.values()))
        self._node.events.publish(MembersChanged(rows, now_ms))

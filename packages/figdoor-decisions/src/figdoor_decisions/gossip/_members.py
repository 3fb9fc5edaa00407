"""The running nodes of the fleet, learned from seeds and from peers."""

from collections.abc import Iterator
from dataclasses import dataclass

from figdoor_kernel import (
    FIGDOOR_SERVICE,
    Digest,
    Extension,
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
# Nodes report to a delegate of their zone every 3 s, or 4.5 s on average.
RECENT_MS = 10_000.0
# How long the largest number of members that another node named counts.
REPORT_EXPIRY_MS = 30_000.0
# A wrong number must not take a node's shares away.
MAX_REPORTED = 10_000
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
    start a node knows of too few members and would use too large a share. It
    is also at least the number that any node has reported recently, since only
    the delegates of an availability zone know all of its members.
    """
    members: Members = node.part(Extension.SERVICE, 'members')
    return max(node.options.fleet_nodes, int(GROWTH_MARGIN * members.count))


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
        self._reported_count = 0
        self._reported_ms = float('-inf')
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

    @property
    def count(self) -> int:
        """The most members that this node or a recent digest names."""
        return max(self.own_count, self._reported_count)

    @property
    def own_count(self) -> int:
        """The number of members that this node knows, itself included."""
        return len(self._others) + 1

    def zone_chunks(
        self, now_ms: float
    ) -> Iterator[tuple[tuple[Vm, ...], tuple[int, ...]]]:
        """Yield all members of the own zone in rows for one digest each.

        Those that have not reported for some intervals are left out.
        """
        recent = [
            member
            for member in self._others.values()
            if member.vm.availability_zone == self._node.availability_zone
            and now_ms - member.last_seen_ms <= RECENT_MS
        ]
        size = MAX_DIGEST_MEMBERS - 1
        for begin in range(0, len(recent), size):
            yield self._rows(recent[begin : begin + size], now_ms)

    def addresses(self) -> frozenset[str]:
        """Return the addresses of the other members, as ``host:port``."""
        return frozenset(
            f'{member.vm.host}:{member.vm.port}'
            for member in self._others.values()
        )

    def sample(
        self, now_ms: float, first: tuple[NodeId, ...] = ()
    ) -> tuple[tuple[Vm, ...], tuple[int, ...]]:
        """Return this node and a sample of others, with their ages.

        It consists of those in ``first`` and of random ones.
        """
        node_ids = [node_id for node_id in first if node_id in self._others]
        others = [
            node_id for node_id in self._others if node_id not in node_ids
        ]
        count = min(MAX_DIGEST_MEMBERS - 1 - len(node_ids), len(others))
        node_ids.extend(self._node.random.sample(others, count))
        chosen = [self._others[node_id] for node_id in node_ids]
        return self._rows(chosen, now_ms)

    def own_row(self) -> tuple[Vm, ...]:
        """Return only this node, as the members of a digest."""
        return (self._own,)

    def _rows(
        self, members: list[_Member], now_ms: float
    ) -> tuple[tuple[Vm, ...], tuple[int, ...]]:
        rows = (self._own, *(member.vm for member in members))
        ages = (int(max(0, now_ms - member.last_seen_ms)) for member in members)
        return rows, (0, *ages)

    def _on_message(self, event: PeerMessageReceived) -> None:
        match event.message:
            case StopNotice():
                if self._others.pop(event.sender, None) is not None:
                    self._announce(event.now_ms)
            case Digest() as digest:
                self._record_count(digest.member_count, event.now_ms)
                self._merge(digest.members, digest.ages_ms, event.now_ms)

    def _record_count(self, count: int, now_ms: float) -> None:
        is_old = now_ms - self._reported_ms > REPORT_EXPIRY_MS
        if is_old or count >= self._reported_count:
            self._reported_count = min(count, MAX_REPORTED)
            self._reported_ms = now_ms

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

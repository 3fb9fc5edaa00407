"""Rendezvous hashing of upstreams over the listed figdoor VMs."""

from collections.abc import Iterable
from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

from figdoor_kernel import (
    Extension,
    Node,
    NodeId,
    Service,
    ServiceName,
    TablesAccepted,
    Tick,
    Upstream,
    UpstreamId,
    VmListChanged,
    VmState,
)

# How long a permit may be used, counted from when its question was sent.
PERMIT_VALID_MS = 500.0
# A longer gap between ticks is a pause: the VM list that the node holds may
# be older than the lag allows for.
MAX_TICK_GAP_MS = 1000.0


@dataclass(frozen=True, slots=True)
class _Assignment:
    home: NodeId
    since_ms: float


class Homes(Service):
    """Knows the home node of each upstream and how long it has been the same.

    Assignments are computed on first use and then kept up to date: a new
    node is compared with each assigned home, and only the upstreams of a
    node that left are computed again. A node that is listed nowhere and
    lists no other node is the home of everything.
    """

    def __init__(self, node: Node) -> None:
        """Follow the VM list and the clock."""
        self._node = node
        self._lease = node.part(Extension.SERVICE, 'config-lease')
        self._members: frozenset[NodeId] = frozenset()
        self._members_since_ms: float | None = None
        self._last_tick_ms: float | None = None
        self._assigned: dict[UpstreamId, _Assignment] = {}
        self._longest_deadline_ms: dict[ServiceName, int] = {}
        node.events.subscribe(VmListChanged, self._on_vm_list)
        node.events.subscribe(TablesAccepted, self._on_tables)
        node.events.subscribe(Tick, self._on_tick)

    def home_of(self, upstream_id: UpstreamId) -> NodeId | None:
        """Return the home node by the current VM list."""
        found = self._assignment(upstream_id)
        return found.home if found else None

    def since_ms(self, upstream_id: UpstreamId) -> float | None:
        """Return since when the home has been the same in the VM list."""
        found = self._assignment(upstream_id)
        return found.since_ms if found else None

    def acts(self, upstream: Upstream, now_ms: float) -> bool:
        """Return whether this node may act as home of the upstream now."""
        found = self._assignment(upstream.upstream_id)
        if found is None or found.home != self._node.node_id:
            return False
        if not self._lease.holds(now_ms) or self._paused(now_ms):
            return False
        return now_ms - found.since_ms >= self.handover_ms(upstream.service)

    def handover_ms(self, service: ServiceName) -> float:
        """Return how long a new home waits until the former one is over.

        The former home may grant permits until its VM list has followed. A
        permit can be used for a while, and its request runs at most until
        the longest deadline of the service's routes.
        """
        lag_ms = self._node.options.vm_list_lag_ms
        longest_ms = self._longest_deadline_ms.get(service, 0)
        return lag_ms + PERMIT_VALID_MS + longest_ms

    @property
    def size(self) -> int:
        """The number of nodes that share the upstreams, at least 1."""
        return max(1, len(self._members))

    def _paused(self, now_ms: float) -> bool:
        last_ms = self._last_tick_ms
        return last_ms is not None and now_ms - last_ms > MAX_TICK_GAP_MS

    def _assignment(self, upstream_id: UpstreamId) -> _Assignment | None:
        # Nothing is assigned while there are no members.
        found = self._assigned.get(upstream_id)
        if found is not None:
            return found
        since_ms = self._members_since_ms
        if since_ms is not None:
            home = _heaviest(self._members, upstream_id)
            found = _Assignment(home, since_ms)
            self._assigned[upstream_id] = found
        return found

    def _on_vm_list(self, event: VmListChanged) -> None:
        listed = self._node.fleet.nodes()
        members = frozenset(
            NodeId(vm.vm_id) for vm in listed if vm.state is VmState.LIVE
        )
        if not listed:
            members = frozenset((self._node.node_id,))
        listed_upstreams = {
            upstream.upstream_id for upstream in self._node.fleet.upstreams()
        }
        for gone in self._assigned.keys() - listed_upstreams:
            self._assigned.pop(gone)
        if members == self._members and self._members_since_ms is not None:
            return
        added = members - self._members
        self._members = members
        self._members_since_ms = event.now_ms if members else None
        self._reassign(added, event.now_ms)

    def _reassign(self, added: frozenset[NodeId], now_ms: float) -> None:
        if not self._members:
            self._assigned.clear()
        for upstream_id, known in self._assigned.items():
            if known.home in self._members:
                rivals = (known.home, *added)
            else:
                rivals = tuple(self._members)
            home = _heaviest(rivals, upstream_id)
            if home != known.home:
                self._assigned[upstream_id] = _Assignment(home, now_ms)

    def _on_tables(self, event: TablesAccepted) -> None:
        longest_ms: dict[ServiceName, int] = {}
        for route in event.tables.routes:
            service = event.tables.pools[route.pool].service
            known_ms = longest_ms.get(service, 0)
            longest_ms[service] = max(known_ms, route.deadline_ms)
        self._longest_deadline_ms = longest_ms

    def _on_tick(self, event: Tick) -> None:
        if self._paused(event.now_ms) and self._members_since_ms is not None:
            self._members_since_ms = event.now_ms
            self._assigned.clear()
        self._last_tick_ms = event.now_ms


def _heaviest(
    members: Iterable[NodeId],
    upstream_id: UpstreamId,
) -> NodeId:
    return max(
        members,
        key=lambda member: (
            xxh3_64_intdigest(f'{member}\n{upstream_id}'.encode()),
            member,
        ),
    )

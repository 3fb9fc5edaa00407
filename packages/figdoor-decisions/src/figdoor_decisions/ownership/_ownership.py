"""Rendezvous hashing of upstreams over the figdoor nodes in the VM list."""

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

# How long a permit may be used, counted from when it was requested.
PERMIT_VALID_MS = 500.0
# A longer gap between ticks means that the process was suspended. The VM list
# that it holds may then be older than the configured lag allows.
MAX_TICK_GAP_MS = 1000.0


@dataclass(frozen=True, slots=True)
class _Assignment:
    owner: NodeId
    since_ms: float


class Ownership(Service):
    """Knows the owner of each upstream and since when it is the owner.

    An owner is computed on first use and then kept up to date: a new node is
    compared with the owner of each assigned upstream, and a full computation
    is repeated only for the upstreams of a removed node. Where the VM list
    contains no nodes at all, this node owns every upstream.
    """

    def __init__(self, node: Node) -> None:
        """Subscribe to changes of the VM list and the tables, and to ticks."""
        self._node = node
        self._lease = node.part(Extension.SERVICE, 'config-lease')
        self._members: frozenset[NodeId] = frozenset()
        self._members_since_ms: float | None = None
        self._last_tick_ms: float | None = None
        self._assignments: dict[UpstreamId, _Assignment] = {}
        self._max_deadline_ms: dict[ServiceName, int] = {}
        node.events.subscribe(VmListChanged, self._on_vm_list)
        node.events.subscribe(TablesAccepted, self._on_tables)
        node.events.subscribe(Tick, self._on_tick)

    def owner_of(self, upstream_id: UpstreamId) -> NodeId | None:
        """Return the owner, ``None`` where the VM list has no live node."""
        assignment = self._assignment(upstream_id)
        return assignment.owner if assignment else None

    def owner_since_ms(self, upstream_id: UpstreamId) -> float | None:
        """Return since when the current owner has owned the upstream."""
        assignment = self._assignment(upstream_id)
        return assignment.since_ms if assignment else None

    def may_act(self, upstream: Upstream, now_ms: float) -> bool:
        """Return whether this node may act as the owner of the upstream.

        It needs a valid configuration lease, must not have been suspended
        since its last tick, and waits for the handover from the previous
        owner.
        """
        assignment = self._assignment(upstream.upstream_id)
        if assignment is None or assignment.owner != self._node.node_id:
            return False
        if not self._lease.holds(now_ms) or self._was_suspended(now_ms):
            return False
        return now_ms - assignment.since_ms >= self.handover_ms(
            upstream.service,
        )

    def handover_ms(self, service: ServiceName) -> float:
        """Return how long a new owner waits before it acts.

        The previous owner may grant permits until its VM list is up to date.
        Each permit can be used for ``PERMIT_VALID_MS``, and a request that
        was sent with it runs at most until the longest deadline among the
        routes of the service.
        """
        lag_ms = self._node.options.vm_list_lag_ms
        deadline_ms = self._max_deadline_ms.get(service, 0)
        return lag_ms + PERMIT_VALID_MS + deadline_ms

    @property
    def node_count(self) -> int:
        """The number of nodes that share the upstreams, at least 1."""
        return max(1, len(self._members))

    def _was_suspended(self, now_ms: float) -> bool:
        last_ms = self._last_tick_ms
        return last_ms is not None and now_ms - last_ms > MAX_TICK_GAP_MS

    def _assignment(self, upstream_id: UpstreamId) -> _Assignment | None:
        # Without members there are no assignments either.
        assignment = self._assignments.get(upstream_id)
        if assignment is not None:
            return assignment
        since_ms = self._members_since_ms
        if since_ms is not None:
            owner = _select_owner(self._members, upstream_id)
            assignment = _Assignment(owner, since_ms)
            self._assignments[upstream_id] = assignment
        return assignment

    def _on_vm_list(self, event: VmListChanged) -> None:
        node_vms = self._node.fleet.nodes()
        members = frozenset(
            NodeId(vm.vm_id) for vm in node_vms if vm.state is VmState.LIVE
        )
        if not node_vms:
            members = frozenset((self._node.node_id,))
        listed_upstreams = {
            upstream.upstream_id for upstream in self._node.fleet.upstreams()
        }
        for removed_id in self._assignments.keys() - listed_upstreams:
            self._assignments.pop(removed_id)
        if members == self._members and self._members_since_ms is not None:
            return
        added = members - self._members
        self._members = members
        self._members_since_ms = event.now_ms if members else None
        self._reassign(added, event.now_ms)

    def _reassign(self, added: frozenset[NodeId], now_ms: float) -> None:
        if not self._members:
            self._assignments.clear()
        for upstream_id, assignment in self._assignments.items():
            if assignment.owner in self._members:
                candidates = (assignment.owner, *added)
            else:
                candidates = tuple(self._members)
            owner = _select_owner(candidates, upstream_id)
            if owner != assignment.owner:
                self._assignments[upstream_id] = _Assignment(owner, now_ms)

    def _on_tables(self, event: TablesAccepted) -> None:
        max_ms: dict[ServiceName, int] = {}
        for route in event.tables.routes:
            service = event.tables.pools[route.pool].service
            previous_ms = max_ms.get(service, 0)
            max_ms[service] = max(previous_ms, route.deadline_ms)
        self._max_deadline_ms = max_ms

    def _on_tick(self, event: Tick) -> None:
        if (
            self._was_suspended(event.now_ms)
            and self._members_since_ms is not None
        ):
            self._members_since_ms = event.now_ms
            self._assignments.clear()
        self._last_tick_ms = event.now_ms


def _select_owner(
    members: Iterable[NodeId],
    upstream_id: UpstreamId,
) -> NodeId:
    """Return the member with the highest hash for the upstream."""
    return max(
        members,
        key=lambda member: (
            xxh3_64_intdigest(f'{member}\n{upstream_id}'.encode()),
            member,
        ),
    )

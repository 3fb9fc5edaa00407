"""Nodes that pass news on inside their availability zone."""

from collections import defaultdict
from collections.abc import Iterator
from itertools import chain

from figdoor_decisions.gossip._ranking import rank_key
from figdoor_kernel import (
    AvailabilityZoneName,
    MembersChanged,
    Node,
    NodeId,
    Service,
    Vm,
)

# One delegate may be down or not reachable.
DELEGATES_PER_ZONE = 2


class ZoneDelegates(Service):
    """Selects the first members of each availability zone as its delegates.

    A node that has news for all others sends them to the members of its own
    zone and to the delegates of the others, which pass them on. So the number
    of messages of one node grows with the zones and the members of one of
    them, not with the fleet, and few messages cross zones. All nodes of a zone
    report to its delegates, so that these know each of them. The reader of the
    store ranks first in its zone, so it is a delegate.

    Nodes with different members may select different delegates; a node that
    gets no news reads the store itself.
    """

    def __init__(self, node: Node) -> None:
        """Subscribe to members."""
        self._node = node
        self._seeds = frozenset(node.options.seeds)
        self._zones: dict[NodeId, AvailabilityZoneName] = {}
        self.zone_members: tuple[NodeId, ...] = ()
        self._by_zone: dict[AvailabilityZoneName, tuple[NodeId, ...]] = {}
        self.recipients: tuple[NodeId, ...] = ()
        node.events.subscribe(MembersChanged, self._on_members)

    @property
    def is_delegate(self) -> bool:
        """Whether this node passes news on to the members of its zone."""
        return self._node.node_id in self.of_zone(self._node.availability_zone)

    @property
    def remote(self) -> Iterator[tuple[NodeId, ...]]:
        """The delegates of each other availability zone."""
        for zone, delegates in self._by_zone.items():
            if zone != self._node.availability_zone:
                yield delegates

    def of_zone(self, zone: AvailabilityZoneName) -> tuple[NodeId, ...]:
        """Return the delegates of an availability zone."""
        return self._by_zone.get(zone, ())

    def is_remote(self, node_id: NodeId) -> bool:
        """Return whether a member is in another availability zone."""
        zone = self._zones.get(node_id, self._node.availability_zone)
        return zone != self._node.availability_zone

    def _on_members(self, event: MembersChanged) -> None:
        own_id = self._node.node_id
        by_zone: defaultdict[AvailabilityZoneName, list[Vm]] = defaultdict(list)
        for vm in event.members:
            by_zone[vm.availability_zone].append(vm)
        self._zones = {
            NodeId(vm.vm_id): vm.availability_zone for vm in event.members
        }
        self._by_zone = {
            zone: self._first_of(members) for zone, members in by_zone.items()
        }
        self.zone_members = tuple(
            NodeId(vm.vm_id)
            for vm in by_zone[self._node.availability_zone]
            if NodeId(vm.vm_id) != own_id
        )
        # The delegates of other zones come first, since their zones wait for
        # what they fetch from this node.
        self.recipients = (*chain(*self.remote), *self.zone_members)

    def _first_of(self, members: list[Vm]) -> tuple[NodeId, ...]:
        ranked = sorted(members, key=lambda vm: rank_key(vm, self._seeds))
        return tuple(NodeId(vm.vm_id) for vm in ranked[:DELEGATES_PER_ZONE])

"""Which node of an availability zone gathers the shares of the others."""

from figdoor_decisions.gossip import rank_key
from figdoor_kernel import (
    MembersChanged,
    Node,
    NodeId,
    Service,
    StopBegun,
    Vm,
)

# A node takes over once no node of a better rank has polled it for this time
# and this time per rank, so that mostly one node does.
TAKEOVER_MS = 700.0
RANK_DELAY_MS = 100.0


class ZoneElection(Service):
    """Selects the first running member of the zone, without a vote.

    The order of the members is the same at all nodes. Two nodes may take
    themselves for the first one; then each gathers a part of the shares, until
    the later one hears from the earlier one.
    """

    def __init__(self, node: Node) -> None:
        """Subscribe to members and to the stop of this node."""
        self._node = node
        self._seeds = frozenset(node.options.seeds)
        self._ranked: tuple[NodeId, ...] = (node.node_id,)
        self._rank = 0
        self._silent_since_ms = node.clock.now_ms()
        self._is_stopping = False
        self.voters: tuple[NodeId, ...] = ()
        self._others: tuple[NodeId, ...] = ()
        node.events.subscribe(MembersChanged, self._on_members)
        node.events.subscribe(StopBegun, self._on_stop)

    @property
    def leader(self) -> NodeId | None:
        """The first known member of the zone, ``None`` for this node."""
        return self._ranked[0] if self._rank else None

    @property
    def any_member(self) -> NodeId | None:
        """A random other member, ``None`` if none is known."""
        return self._node.random.choice(self._others) if self._others else None

    def is_elected(self, now_ms: float, *, is_lent: bool) -> bool:
        """Return whether this node gathers the shares of its zone."""
        if self._is_stopping or is_lent:
            return False
        delay_ms = TAKEOVER_MS + self._rank * RANK_DELAY_MS if self._rank else 0
        return now_ms - self._silent_since_ms >= delay_ms

    def accepts(self, sender: NodeId, now_ms: float) -> bool:
        """Return whether a node that gathers shares is before this one."""
        if sender not in self._ranked[: self._rank] and (
            not self._is_stopping or sender not in self.voters
        ):
            return False
        self._silent_since_ms = now_ms
        return True

    def _on_members(self, event: MembersChanged) -> None:
        zone = self._node.availability_zone
        members = [vm for vm in event.members if vm.availability_zone == zone]
        members.sort(key=self._key_of)
        self._ranked = tuple(NodeId(vm.vm_id) for vm in members)
        own_id = self._node.node_id
        self._rank = self._ranked.index(own_id)
        self._others = tuple(
            NodeId(vm.vm_id)
            for vm in event.members
            if NodeId(vm.vm_id) != own_id
        )
        self.voters = tuple(name for name in self._ranked if name != own_id)

    def _key_of(self, vm: Vm) -> tuple[bool, int, str]:
        return rank_key(vm, self._seeds)

    def _on_stop(self, event: StopBegun) -> None:
        self._is_stopping = True

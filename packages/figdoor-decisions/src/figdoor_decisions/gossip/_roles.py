"""Selects the node that reads the store for the others, and its standbys."""

from figdoor_decisions.gossip._members import Members
from figdoor_decisions.gossip._ranking import rank_key
from figdoor_kernel import (
    Extension,
    MembersChanged,
    Node,
    Service,
    Vm,
)

# How long the items of a node may be unconfirmed before it reads the store
# itself, by its rank. The reader confirms them at least every 800 ms; a change
# must be in force within two seconds. The first standby reacts to one lost
# confirmation, the other nodes only once the standbys have failed as well.
_TAKEOVER_MS: tuple[float, ...] = (0, 1050, 1250, 1250)
LAST_TAKEOVER_MS = 1450.0


class StoreReaders(Service):
    """Ranks the members; the first one reads the store for the others.

    Seeds come first, since every node knows them from its start, then the
    members in the order of their hashes. Nodes with different members may rank
    them differently. Too many readers only cost calls; with too few, the
    other nodes notice that nobody confirms their items, and read themselves.
    """

    def __init__(self, node: Node) -> None:
        """Subscribe to members."""
        self._members: Members = node.part(Extension.SERVICE, 'members')
        self._seeds = frozenset(node.options.seeds)
        self._rank = self._rank_among(())
        node.events.subscribe(MembersChanged, self._on_members)

    @property
    def is_reader(self) -> bool:
        """Whether this node reads the store for the others."""
        return self._rank == 0

    @property
    def is_standby(self) -> bool:
        """Whether this node confirms items to the others if it has read."""
        return self._rank < len(_TAKEOVER_MS)

    @property
    def takeover_ms(self) -> float:
        """How old confirmed items may be before this node reads the store."""
        if self.is_standby:
            return _TAKEOVER_MS[self._rank]
        return LAST_TAKEOVER_MS

    def _on_members(self, event: MembersChanged) -> None:
        self._rank = self._rank_among(event.members)

    def _rank_among(self, members: tuple[Vm, ...]) -> int:
        own = self._members.own_row()[0]
        own_key = rank_key(own, self._seeds)
        is_seed = not own_key[0]
        if len(members) < 2 and self._seeds and not is_seed:
            # A node that has just started does not know the reader yet.
            return len(_TAKEOVER_MS)
        return sum(rank_key(vm, self._seeds) < own_key for vm in members)

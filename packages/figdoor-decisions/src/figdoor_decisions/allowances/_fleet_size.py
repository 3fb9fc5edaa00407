"""The number of shares into which each allowance is divided."""

from figdoor_decisions.gossip import GROWTH_MARGIN, Members
from figdoor_kernel import Extension, Node

# How long the largest number of members counts. Members that are cut off expire
# after 20 s, but each part of a split has to leave the others their shares.
MEMORY_MS = 600_000.0
# A wrong number must not take a node's share away for good.
MAX_REPORTED = 10_000


class ShareCount:
    """Counts the shares of the fleet, at least ``fleet_nodes``.

    The number of members only grows here, also by what other nodes report.
    """

    def __init__(self, node: Node) -> None:
        """Know of this node only."""
        self._members: Members = node.part(Extension.SERVICE, 'members')
        self._least = node.options.fleet_nodes
        self._largest = 1
        self._largest_at_ms = node.clock.now_ms()

    @property
    def largest(self) -> int:
        """The largest number of members known recently."""
        return self._largest

    def record(self, count: int, now_ms: float) -> None:
        """Record a number of members that another node knows."""
        is_old = now_ms - self._largest_at_ms > MEMORY_MS
        if is_old or count >= self._largest:
            self._largest = min(count, MAX_REPORTED)
            self._largest_at_ms = now_ms

    def shares(self, now_ms: float) -> int:
        """Return the number of shares.

        A fleet within ``fleet_nodes`` needs no margin for nodes that join.
        """
        self.record(self._members.count, now_ms)
        if self._largest <= self._least:
            return self._least
        return int(GROWTH_MARGIN * self._largest)

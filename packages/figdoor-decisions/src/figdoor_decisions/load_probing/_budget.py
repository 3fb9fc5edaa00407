"""The budget for the probes that one node sends before calls."""

from figdoor_decisions.gossip import fleet_size
from figdoor_kernel import Node

MS_PER_SECOND = 1000
# The rest covers health probes outside of load probing, and nodes that have
# restarted with a full bucket.
USABLE_SHARE = 0.85
# The bucket holds the budget of this time, so that bursts of calls can use
# what was left unused before.
BURST_S = 10.0


class ProbeBudget:
    """A token bucket with this node's static share of the fleet's probes.

    Each upstream can handle ``probes_per_s`` on average. The rate of a node is
    that number times all upstreams, divided by the number of nodes, so that
    the fleet stays within it without coordination.
    """

    def __init__(self, node: Node) -> None:
        """Start with a full bucket."""
        self._node = node
        self._spent: float = 0
        self._refilled_at_ms = float('-inf')

    def fill_level(self, now_ms: float) -> float:
        """Return how full the bucket is, from 0 to 1."""
        rate_per_s = self._rate_per_s()
        if not rate_per_s:
            return 0
        age_s = (now_ms - self._refilled_at_ms) / MS_PER_SECOND
        self._refilled_at_ms = now_ms
        self._spent = max(0, self._spent - rate_per_s * age_s)
        return max(0, 1 - self._spent / (rate_per_s * BURST_S))

    def spend(self) -> None:
        """Count one probe."""
        self._spent += 1

    def _rate_per_s(self) -> float:
        probes_per_s = USABLE_SHARE * self._node.options.probes_per_s
        upstream_count = self._node.fleet.upstream_count
        return probes_per_s * upstream_count / fleet_size(self._node)

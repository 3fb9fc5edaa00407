"""How many probes a node may send."""

from figdoor_decisions.gossip import fleet_size
from figdoor_kernel import Node

MS_PER_SECOND = 1000
# Health answers outside of surveys and nodes that have just started again
# use the rest.
USED_SHARE = 0.85
# A burst of calls may use what was left over in the time before.
SAVED_S = 10.0


class ProbeAllowance:
    """A static share of the probes that upstreams bear on the average.

    The bound is over all upstreams and nodes, so that a node's share is a
    rate times the upstreams per node. It holds whatever the other nodes do.
    """

    def __init__(self, node: Node) -> None:
        """Begin with all that can be saved."""
        self._node = node
        self._spent: float = 0
        self._at_ms = float('-inf')

    def left(self, now_ms: float) -> float:
        """Return the share that is left of what can be saved, 0 to 1."""
        rate_per_s = self._rate_per_s()
        if not rate_per_s:
            return 0
        age_s = (now_ms - self._at_ms) / MS_PER_SECOND
        self._at_ms = now_ms
        self._spent = max(0, self._spent - rate_per_s * age_s)
        return max(0, 1 - self._spent / (rate_per_s * SAVED_S))

    def spend(self) -> None:
        """Note one probe."""
        self._spent += 1

    def _rate_per_s(self) -> float:
        probes_per_s = USED_SHARE * self._node.options.probes_per_s
        upstream_count = self._node.fleet.upstream_count
        return probes_per_s * upstream_count / fleet_size(self._node)

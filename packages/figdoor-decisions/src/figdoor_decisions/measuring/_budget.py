"""This node's static share of the probes of each upstream."""

from collections import deque

from figdoor_decisions.configuration import ConfigLease
from figdoor_kernel import (
    FIGDOOR_SERVICE,
    Extension,
    Node,
    VmId,
    VmList,
    VmListChanged,
    VmState,
)

# The fleet may grow by a quarter before the VM list of every node shows it.
GROWTH_MARGIN = 1.25
MS_PER_SECOND = 1000


def probe_interval_ms(probes_per_s: float, nodes: int) -> float:
    """Return the time between two probes of one upstream by one node.

    For 2 probes per second and 16 nodes it is 10 s::

        >>> probe_interval_ms(2, 16)
        10000.0
    """
    return MS_PER_SECOND * GROWTH_MARGIN * nodes / probes_per_s


class NodeCount:
    """The largest number of listed nodes within the lag of the VM list."""

    def __init__(self, node: Node) -> None:
        """Subscribe to the VM list."""
        self._own_id = VmId(node.node_id)
        self._lease: ConfigLease = node.part(Extension.SERVICE, 'config-lease')
        self._lag_ms = node.options.vm_list_lag_ms
        self._current = 0
        self._read_at_ms = float('-inf')
        self._is_listed = False
        # Earlier counts, each with the time at which it was replaced.
        self._previous: deque[tuple[float, int]] = deque()
        node.events.subscribe(VmListChanged, self._on_vm_list)

    def may_probe(self, now_ms: float) -> bool:
        """Return whether a current VM list has this node as live.

        After a pause, a node still has the list from before the pause, and the
        fleet may have grown much since. A valid config lease proves that the
        node was not paused, so a list that cannot be read again because the
        platform is down remains usable.
        """
        if not self._is_listed:
            return False
        if now_ms - self._read_at_ms <= self._lag_ms:
            return True
        return self._lease.holds(now_ms)

    def largest(self, now_ms: float) -> int:
        """Return the largest count within the lag, at least 1."""
        while self._previous and now_ms - self._previous[0][0] > self._lag_ms:
            self._previous.popleft()
        counts = [count for _, count in self._previous]
        return max(1, self._current, *counts)

    def _on_vm_list(self, event: VmListChanged) -> None:
        count = len(event.vm_list.of_service(FIGDOOR_SERVICE))
        if count != self._current:
            self._previous.append((event.now_ms, self._current))
            self._current = count
        self._is_listed = self._is_live_in(event.vm_list)
        self._read_at_ms = event.now_ms

    def _is_live_in(self, vm_list: VmList) -> bool:
        return any(
            vm.vm_id == self._own_id and vm.state is VmState.LIVE
            for vm in vm_list.of_service(FIGDOOR_SERVICE)
        )

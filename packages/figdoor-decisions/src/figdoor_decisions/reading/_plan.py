"""Decides when to read the configuration service and the VM list."""

from dataclasses import dataclass

from figdoor_decisions.configuration import ConfigLease
from figdoor_decisions.reading._share import MS_PER_SECOND, PAUSE_MS, RateShare
from figdoor_decisions.reading._watchers import is_watcher
from figdoor_kernel import (
    ConfigReadFailed,
    ConfigReadSucceeded,
    Extension,
    Node,
    NodeId,
    Service,
    Tick,
    VmListChanged,
)

# A watch confirms the tables as of its start, but only when it ends. Two
# successive watches must fit into a lease of 2 s.
WATCH_WAIT_MS = 800
# Limits the reads of a watcher even if the service answers at once. A wrong VM
# list can make every node a watcher: 640 of them then start 853 reads a second
# of the tables and as many of the VM list. The platform serves 2,000.
WATCH_INTERVAL_MS = 650
WATCH_SPREAD_MS = 200
RETRY_DELAY_MS = 250
# A read that starts this long before the lease expires can be retried once.
RENEWAL_MARGIN_MS = 800
# One read a second renews a lease of 2 s. The limit matters if a wrong VM list
# contains a single node, whose share would be the whole rate.
MAX_SHARE_PER_S = 1
VM_LIST_READS_PER_S = 400
VM_LIST_INTERVAL_MS = 750
# Assumed for the share while the VM list does not contain this node.
ASSUMED_NODES = 640
JITTER = 0.25
# Keeps the rate of reads within one per shortest interval, even if each version
# check is followed by a read of the whole list.
FOLLOWUP_READ_DELAY_MS = 2 * VM_LIST_INTERVAL_MS


@dataclass(frozen=True, slots=True)
class PlannedTablesRead:
    """A read that the service may hold ``wait_ms`` until the tables change."""

    wait_ms: float


class ReadingPlan(Service):
    """Makes two nodes per zone watch the service; others read only if needed.

    A node that is no watcher reads only while it has no tables or its lease is
    about to expire, and then within its share of ``config_reads_per_s``.
    """

    def __init__(self, node: Node) -> None:
        """Subscribe to ticks, VM lists and results of config reads."""
        self._node = node
        self._lease: ConfigLease = node.part(Extension.SERVICE, 'config-lease')
        self._share = RateShare(node.random)
        self._node_count: int | None = None
        self._last_read_failed = True
        self._next_tables_read_ms: float = 0
        self._next_vm_list_read_ms: float = 0
        self._is_first_vm_list_read = True
        self._last_tick_ms: float | None = None
        self.is_watcher = False
        node.events.subscribe(Tick, self._on_tick)
        node.events.subscribe(VmListChanged, self._on_vm_list)
        node.events.subscribe(ConfigReadSucceeded, self._on_read_succeeded)
        node.events.subscribe(ConfigReadFailed, self._on_read_failed)

    def next_tables_read(self, now_ms: float) -> PlannedTablesRead | None:
        """Return the read to start now; call it only while no read runs."""
        if now_ms < self._next_tables_read_ms:
            return None
        if self.is_watcher:
            spread_ms = WATCH_SPREAD_MS * self._node.random.random()
            self._next_tables_read_ms = now_ms + WATCH_INTERVAL_MS + spread_ms
            return PlannedTablesRead(
                0 if self._last_read_failed else WATCH_WAIT_MS
            )
        if self._needs_read(now_ms) and self._share.acquire():
            return PlannedTablesRead(0)
        return None

    def may_read_vm_list(self, now_ms: float) -> bool:
        """Return whether to read the VM list now; schedules the next read."""
        if now_ms < self._next_vm_list_read_ms:
            return False
        if self._is_first_vm_list_read:
            self._is_first_vm_list_read = False
            self._spread_vm_list_reads(now_ms + MS_PER_SECOND)
            return True
        spread = 1 + JITTER * (2 * self._node.random.random() - 1)
        self._next_vm_list_read_ms = (
            now_ms + self._vm_list_interval_ms() * spread
        )
        return True

    def record_followup_read(self, now_ms: float) -> None:
        """Delay the next read, after a whole read that followed a check."""
        earliest_ms = now_ms + FOLLOWUP_READ_DELAY_MS
        self._next_vm_list_read_ms = max(
            self._next_vm_list_read_ms, earliest_ms
        )

    def _needs_read(self, now_ms: float) -> bool:
        if self._node.tables is None:
            return True
        return not self._lease.holds(now_ms + RENEWAL_MARGIN_MS)

    def _spread_vm_list_reads(self, from_ms: float) -> None:
        """Spread the next reads of nodes that started or resumed together."""
        delay_ms = self._vm_list_interval_ms() * self._node.random.random()
        self._next_vm_list_read_ms = from_ms + delay_ms

    def _vm_list_interval_ms(self) -> float:
        # A node that is not listed yet reads at the shortest interval, to find
        # its neighbours.
        node_count = self._node_count or 0
        interval_ms = MS_PER_SECOND * node_count / VM_LIST_READS_PER_S
        return max(VM_LIST_INTERVAL_MS, interval_ms)

    def _on_tick(self, event: Tick) -> None:
        node_count = self._node_count or ASSUMED_NODES
        rate = self._node.options.config_reads_per_s / node_count
        self._share.refill(min(MAX_SHARE_PER_S, rate), event.now_ms)
        last_ms = self._last_tick_ms
        self._last_tick_ms = event.now_ms
        if last_ms is not None and event.now_ms - last_ms > PAUSE_MS:
            self._spread_vm_list_reads(event.now_ms)

    def _on_vm_list(self, event: VmListChanged) -> None:
        node = self._node
        nodes = node.fleet.nodes()
        is_listed = any(NodeId(vm.vm_id) == node.node_id for vm in nodes)
        self._node_count = len(nodes) if is_listed else None
        self.is_watcher = is_watcher(
            node.node_id,
            node.availability_zone,
            nodes,
        )

    def _on_read_succeeded(self, event: ConfigReadSucceeded) -> None:
        self._last_read_failed = False

    def _on_read_failed(self, event: ConfigReadFailed) -> None:
        self._last_read_failed = True
        delay_ms = RETRY_DELAY_MS * (1 + self._node.random.random())
        self._next_tables_read_ms = max(
            self._next_tables_read_ms, event.now_ms + delay_ms
        )

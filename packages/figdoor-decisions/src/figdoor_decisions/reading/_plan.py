"""Decides about each read of the configuration service and the VM list."""

from dataclasses import dataclass

from figdoor_decisions.configuration import ConfigLease
from figdoor_decisions.reading._holders import holds_watch
from figdoor_decisions.reading._share import MS_PER_SECOND, PAUSE_MS, Share
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

# A watch confirms the time at which it began, and only when it ends. Two of
# them in a row must fit into a lease of 2 s.
WATCH_WAIT_MS = 800
# Bounds the reads of a holder also where the service does not make it wait.
# A wrong VM list can make a holder of every node: 640 of them then start 853
# reads a second of the tables and as many of the VM list, below the 2,000 that
# the platform serves.
WATCH_INTERVAL_MS = 650
WATCH_SPREAD_MS = 200
RETRY_MS = 250
# A read this long before the lease ends leaves time for a second one.
RENEWAL_MS = 800
# One read a second keeps a lease of 2 s. The limit also holds where a wrong
# VM list shows one node only and the share would be the whole rate.
MAX_SHARE_PER_S = 1
VM_LIST_READS_PER_S = 400
VM_LIST_INTERVAL_MS = 750
# Assumed for the share while the VM list does not show this node.
ASSUMED_NODES = 640
JITTER = 0.25
# Two reads within this time are no more than two of the shortest interval,
# also for a list that never stays the same.
SECOND_READ_MS = 2 * VM_LIST_INTERVAL_MS


@dataclass(frozen=True, slots=True)
class TablesRead:
    """A read of both tables that may wait at the service for a change."""

    wait_ms: float


class ReadingPlan(Service):
    """Lets two nodes per zone watch, and the others read when in need.

    A node that holds no watch reads only while it has no tables or its lease
    is about to run out, and then within its share of
    ``config_reads_per_s``.
    """

    def __init__(self, node: Node) -> None:
        """Follow the clock, the VM list and the outcome of reads."""
        self._node = node
        self._lease: ConfigLease = node.part(Extension.SERVICE, 'config-lease')
        self._share = Share(node.random)
        self._nodes: int | None = None
        self._last_failed = True
        self._next_ms: float = 0
        self._vm_list_next_ms: float = 0
        self._is_first_vm_list_read = True
        self._last_tick_ms: float | None = None
        self.holds_watch = False
        node.events.subscribe(Tick, self._on_tick)
        node.events.subscribe(VmListChanged, self._on_vm_list)
        node.events.subscribe(ConfigReadSucceeded, self._on_confirmed)
        node.events.subscribe(ConfigReadFailed, self._on_failed)

    def next_tables_read(self, now_ms: float) -> TablesRead | None:
        """Return the read to start now; ask only while none is under way."""
        if now_ms < self._next_ms:
            return None
        if self.holds_watch:
            spread_ms = WATCH_SPREAD_MS * self._node.random.random()
            self._next_ms = now_ms + WATCH_INTERVAL_MS + spread_ms
            return TablesRead(0 if self._last_failed else WATCH_WAIT_MS)
        if self._needs_read(now_ms) and self._share.take():
            return TablesRead(0)
        return None

    def may_read_vm_list(self, now_ms: float) -> bool:
        """Return whether to read the VM list now, and plan the next read."""
        if now_ms < self._vm_list_next_ms:
            return False
        if self._is_first_vm_list_read:
            self._is_first_vm_list_read = False
            self._delay_vm_list(now_ms + MS_PER_SECOND)
            return True
        spread = 1 + JITTER * (2 * self._node.random.random() - 1)
        self._vm_list_next_ms = now_ms + self._vm_list_interval_ms() * spread
        return True

    def note_second_read(self, now_ms: float) -> None:
        """Count a read of the VM list that followed one that was planned."""
        earliest_ms = now_ms + SECOND_READ_MS
        self._vm_list_next_ms = max(self._vm_list_next_ms, earliest_ms)

    def _needs_read(self, now_ms: float) -> bool:
        if self._node.tables is None:
            return True
        return not self._lease.holds(now_ms + RENEWAL_MS)

    def _delay_vm_list(self, from_ms: float) -> None:
        """Spread the next reads of nodes that started or woke together."""
        delay_ms = self._vm_list_interval_ms() * self._node.random.random()
        self._vm_list_next_ms = from_ms + delay_ms

    def _vm_list_interval_ms(self) -> float:
        # A node that is not listed yet reads often, to find its neighbours.
        nodes = self._nodes or 0
        interval_ms = MS_PER_SECOND * nodes / VM_LIST_READS_PER_S
        return max(VM_LIST_INTERVAL_MS, interval_ms)

    def _on_tick(self, event: Tick) -> None:
        nodes = self._nodes or ASSUMED_NODES
        rate = self._node.options.config_reads_per_s / nodes
        self._share.earn(min(MAX_SHARE_PER_S, rate), event.now_ms)
        last_ms = self._last_tick_ms
        self._last_tick_ms = event.now_ms
        if last_ms is not None and event.now_ms - last_ms > PAUSE_MS:
            self._delay_vm_list(event.now_ms)

    def _on_vm_list(self, event: VmListChanged) -> None:
        node = self._node
        nodes = node.fleet.nodes()
        is_listed = any(NodeId(vm.vm_id) == node.node_id for vm in nodes)
        self._nodes = len(nodes) if is_listed else None
        self.holds_watch = holds_watch(
            node.node_id,
            node.availability_zone,
            nodes,
        )

    def _on_confirmed(self, event: ConfigReadSucceeded) -> None:
        self._last_failed = False

    def _on_failed(self, event: ConfigReadFailed) -> None:
        self._last_failed = True
        delay_ms = RETRY_MS * (1 + self._node.random.random())
        self._next_ms = max(self._next_ms, event.now_ms + delay_ms)

"""Asks for probes within the budget."""

from heapq import heappop, heappush

from figdoor_decisions.measuring._budget import NodeCount, probe_interval_ms
from figdoor_decisions.measuring._probe_need import Worth
from figdoor_kernel import (
    Node,
    ProbeRequested,
    Service,
    TablesAccepted,
    Tick,
    Upstream,
    UpstreamId,
    VmListChanged,
)

# A longer gap between two ticks is a pause of the process.
MAX_TICK_GAP_MS = 500.0
RECHECK_MS = 2000.0


class Prober(Service):
    """Holds a bucket of one token for each upstream.

    Buckets start empty, so that a node that is replaced again and again
    spends nothing. They fill by ticks; a pause and the time outside the VM
    list fill nothing. All times here are on that clock of counted ticks.
    """

    def __init__(self, node: Node) -> None:
        """Follow ticks, tables and the VM list."""
        self._node = node
        self._count = NodeCount(node)
        self._worth = Worth(node)
        self._counted_ms: float = 0
        self._ticked_at_ms: float | None = None
        self._spent_at: dict[UpstreamId, float] = {}
        self._new: set[UpstreamId] = set()
        self._due: list[tuple[float, UpstreamId]] = []
        self._budgets: dict[str, float] = {}
        self._zones: dict[str, frozenset[str]] = {}
        node.events.subscribe(VmListChanged, self._on_vm_list)
        node.events.subscribe(TablesAccepted, self._on_tables)
        node.events.subscribe(Tick, self._on_tick)

    def _on_tables(self, event: TablesAccepted) -> None:
        """Read budgets; pools of one service share its lowest budget."""
        self._budgets = {}
        self._zones = {}
        for pool in event.tables.pools.values():
            known = self._budgets.get(pool.service, pool.probes_per_s)
            self._budgets[pool.service] = min(known, pool.probes_per_s)
            zones = self._zones.get(pool.service, frozenset())
            self._zones[pool.service] = zones | pool.availability_zones

    def _on_vm_list(self, event: VmListChanged) -> None:
        for vm in event.vm_list.vms:
            upstream_id = UpstreamId(vm.vm_id)
            upstream = self._node.fleet.find(upstream_id)
            if upstream is not None and upstream_id not in self._spent_at:
                self._spent_at[upstream_id] = self._counted_ms
                self._new.add(upstream_id)
                self._push(upstream_id, RECHECK_MS * self._node.random.random())

    def _on_tick(self, event: Tick) -> None:
        now_ms = event.now_ms
        last_ms = self._ticked_at_ms
        self._ticked_at_ms = now_ms
        if last_ms is None or not self._count.may_spend(now_ms):
            return
        gap_ms = now_ms - last_ms
        if gap_ms > MAX_TICK_GAP_MS:
            return
        self._counted_ms += gap_ms
        while self._due and self._due[0][0] <= self._counted_ms:
            self._consider(heappop(self._due)[1], now_ms)

    def _consider(self, upstream_id: UpstreamId, now_ms: float) -> None:
        upstream = self._node.fleet.find(upstream_id)
        if upstream is None:
            self._spent_at.pop(upstream_id)
            self._new.discard(upstream_id)
            return
        interval_ms = self._interval_ms(upstream, now_ms)
        if interval_ms is None:
            self._push(upstream_id, RECHECK_MS)
            return
        if upstream_id in self._new:
            # Nodes that start together must not go on probing together.
            self._new.discard(upstream_id)
            phase_ms = interval_ms * self._node.random.random()
            self._spent_at[upstream_id] += phase_ms
        left_ms = self._spent_at[upstream_id] + interval_ms - self._counted_ms
        if left_ms > 0:
            self._push(upstream_id, left_ms)
        elif self._worth.is_worth(upstream, now_ms):
            self._spent_at[upstream_id] = self._counted_ms
            self._push(upstream_id, interval_ms)
            self._node.events.publish(ProbeRequested(upstream_id, now_ms))
        else:
            self._push(upstream_id, RECHECK_MS)

    def _interval_ms(
        self,
        upstream: Upstream,
        now_ms: float,
    ) -> float | None:
        """Return ``None`` where an upstream is in no pool's service."""
        probes_per_s = self._budgets.get(upstream.service, 0)
        zones = self._zones.get(upstream.service, frozenset())
        if not probes_per_s or upstream.availability_zone not in zones:
            return None
        return probe_interval_ms(probes_per_s, self._count.largest(now_ms))

    def _push(self, upstream_id: UpstreamId, delay_ms: float) -> None:
        heappush(self._due, (self._counted_ms + delay_ms, upstream_id))

"""Requests probes of idle upstreams within the budget."""

from heapq import heappop, heappush

from figdoor_decisions.measuring._budget import NodeCount, probe_interval_ms
from figdoor_decisions.measuring._probe_need import ProbeNeed
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

# A longer gap between two ticks means that the process was paused.
MAX_TICK_GAP_MS = 500.0
RECHECK_MS = 2000.0


class Prober(Service):
    """Holds a token bucket of one probe for each upstream.

    Buckets start empty, so that a node that restarts repeatedly sends no
    probes. Ticks fill them, but not after a pause or while the node is not in
    the VM list. All schedules count this active time, ``_active_ms``, and not
    the time of the node's clock.
    """

    def __init__(self, node: Node) -> None:
        """Subscribe to ticks, tables and the VM list."""
        self._node = node
        self._node_count = NodeCount(node)
        self._need = ProbeNeed(node)
        self._active_ms: float = 0
        self._last_tick_ms: float | None = None
        self._emptied_at_ms: dict[UpstreamId, float] = {}
        self._new: set[UpstreamId] = set()
        self._schedule: list[tuple[float, UpstreamId]] = []
        self._budgets: dict[str, float] = {}
        self._zones: dict[str, frozenset[str]] = {}
        node.events.subscribe(VmListChanged, self._on_vm_list)
        node.events.subscribe(TablesAccepted, self._on_tables)
        node.events.subscribe(Tick, self._on_tick)

    def _on_tables(self, event: TablesAccepted) -> None:
        """Read the budgets; pools of one service share the lowest one."""
        self._budgets = {}
        self._zones = {}
        for pool in event.tables.pools.values():
            lowest = self._budgets.get(pool.service, pool.probes_per_s)
            self._budgets[pool.service] = min(lowest, pool.probes_per_s)
            zones = self._zones.get(pool.service, frozenset())
            self._zones[pool.service] = zones | pool.availability_zones

    def _on_vm_list(self, event: VmListChanged) -> None:
        for vm in event.vm_list.vms:
            upstream_id = UpstreamId(vm.vm_id)
            upstream = self._node.fleet.find(upstream_id)
            if upstream is not None and upstream_id not in self._emptied_at_ms:
                self._emptied_at_ms[upstream_id] = self._active_ms
                self._new.add(upstream_id)
                self._schedule_check(
                    upstream_id, RECHECK_MS * self._node.random.random()
                )

    def _on_tick(self, event: Tick) -> None:
        now_ms = event.now_ms
        last_ms = self._last_tick_ms
        self._last_tick_ms = now_ms
        if last_ms is None or not self._node_count.may_probe(now_ms):
            return
        gap_ms = now_ms - last_ms
        if gap_ms > MAX_TICK_GAP_MS:
            return
        self._active_ms += gap_ms
        while self._schedule and self._schedule[0][0] <= self._active_ms:
            self._check(heappop(self._schedule)[1], now_ms)

    def _check(self, upstream_id: UpstreamId, now_ms: float) -> None:
        upstream = self._node.fleet.find(upstream_id)
        if upstream is None:
            self._emptied_at_ms.pop(upstream_id)
            self._new.discard(upstream_id)
            return
        interval_ms = self._interval_ms(upstream, now_ms)
        if interval_ms is None:
            self._schedule_check(upstream_id, RECHECK_MS)
            return
        if upstream_id in self._new:
            # A random phase keeps nodes that start together from probing at
            # the same time.
            self._new.discard(upstream_id)
            phase_ms = interval_ms * self._node.random.random()
            self._emptied_at_ms[upstream_id] += phase_ms
        left_ms = (
            self._emptied_at_ms[upstream_id] + interval_ms - self._active_ms
        )
        if left_ms > 0:
            self._schedule_check(upstream_id, left_ms)
        elif self._need.needs_probe(upstream, now_ms):
            self._emptied_at_ms[upstream_id] = self._active_ms
            self._schedule_check(upstream_id, interval_ms)
            self._node.events.publish(ProbeRequested(upstream_id, now_ms))
        else:
            self._schedule_check(upstream_id, RECHECK_MS)

    def _interval_ms(
        self,
        upstream: Upstream,
        now_ms: float,
    ) -> float | None:
        """Return the time between two probes.

        It is ``None`` where no pool uses the upstream or its pool has no probe
        budget.
        """
        probes_per_s = self._budgets.get(upstream.service, 0)
        zones = self._zones.get(upstream.service, frozenset())
        if not probes_per_s or upstream.availability_zone not in zones:
            return None
        return probe_interval_ms(probes_per_s, self._node_count.largest(now_ms))

    def _schedule_check(self, upstream_id: UpstreamId, delay_ms: float) -> None:
        heappush(self._schedule, (self._active_ms + delay_ms, upstream_id))

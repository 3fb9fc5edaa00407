"""Service while an availability zone leaves and returns.

All decision plug-ins of 16 nodes on a virtual clock, with messages between
the nodes, against 20 workers of 6 slots in 4 availability zones. One of the
zones is taken out of the tables for three seconds; every node accepts each
change within 200 ms. Prints, for each policy, latency and refusals before,
during and after, and how late the last request started in the zone.
Run it with ``.venv/bin/python bench/zones.py``.
"""

import sys
from dataclasses import replace
from importlib.metadata import entry_points

from fake_workers import (
    REMOTE_ONE_WAY_MS,
    SERVICE_MEAN_MS,
    SLOTS,
    Worker,
)
from policy_run import (
    POOLS,
    ROUTES,
    SHARED_CALL,
    TICK_MS,
    WORKERS,
    Run,
    ignore_wake,
)
from sizes import pick

from figdoor_kernel import (
    PLUGIN_GROUP,
    Extension,
    Outcome,
    PeerMessageReceived,
    PeerMessageWanted,
    ServiceConfirmed,
    TablesAccepted,
    VmListChanged,
)
from figdoor_tables import read_tables

NODES = pick(16, quick=2)
LOADS = pick((0.5, 0.65), quick=(0.02,))
POLICIES = ('round-robin', 'power-of-two', 'adaptive')
BEGIN_MS = 2500
OUT_MS = 5000
BACK_MS = 8000
END_MS = 11_000
SPREAD_MS = 200
CONFIRM_MS = 500
PHASES = {
    'before': (4000, OUT_MS),
    'out': (OUT_MS, BACK_MS),
    'returned': (BACK_MS, END_MS),
}


class Plugin:
    """An entry point as the run expects it."""

    def __init__(self, point):
        self.register = point.load()


class ZoneRun(Run):
    """Healthy workers; the tables change twice."""

    def __init__(self, policy, load, seed, plugins):
        super().__init__(policy, load, NODES, seed, plugins)
        self.calls = []
        self.last_start_ms = {}
        self.nodes = {}
        for dispatcher in self.dispatchers:
            node = dispatcher.node
            node.options = replace(node.options, vm_list_lag_ms=500)
            self.nodes[node.node_id] = node
            node.parts(Extension.SERVICE)
            node.events.subscribe(
                PeerMessageWanted,
                lambda event, node=node: self._deliver(node, event),
            )
        vm_list = self.dispatchers[0].node.fleet.vm_list
        for node in self.nodes.values():
            node.events.publish(VmListChanged(vm_list, 0))
            self._accept(node, 2, 'z1 z2 z3 z4')

    def run(self):
        for at_ms in range(0, END_MS, TICK_MS):
            self.clock.at(at_ms, self._tick)
        for at_ms in range(0, END_MS, CONFIRM_MS):
            self.clock.at(at_ms, self._confirm)
        for at_ms, revision, zones in (
            (OUT_MS, 3, 'z2 z3 z4'),
            (BACK_MS, 4, 'z1 z2 z3 z4'),
        ):
            for node in self.nodes.values():
                delay_ms = self.random.uniform(0, SPREAD_MS)
                self.clock.at(
                    at_ms + delay_ms,
                    self._accept,
                    node,
                    revision,
                    zones,
                )
        self.clock.at(BEGIN_MS, self._arrive)
        self.clock.run()
        return self

    def phase_figures(self, phase):
        """Return p50, p99, refused and failed share of one phase."""
        begin_ms, end_ms = PHASES[phase]
        inside = [call for call in self.calls if begin_ms <= call[0] < end_ms]
        answered = sorted(
            latency_ms
            for _, outcome, latency_ms in inside
            if outcome is Outcome.ANSWERED
        )
        refused = sum(one[1] is Outcome.NOT_RUN for one in inside)
        return (
            answered[len(answered) // 2],
            answered[int(len(answered) * 0.99)],
            100 * refused / len(inside),
            100 * (len(inside) - refused - len(answered)) / len(inside),
        )

    def late_ms(self):
        """Return when the last request started in the zone that was out."""
        return max(0, self.last_start_ms.get('z1', 0) - OUT_MS)

    def _make_workers(self, random):
        return {
            f'w{index}': Worker(f'w{index}', self.clock, self.random)
            for index in range(WORKERS)
        }

    def _deliver(self, sender, event):
        receiver = self.nodes.get(event.target)
        if receiver is not None:
            self.clock.at(
                self.clock.time_ms + REMOTE_ONE_WAY_MS,
                self._receive,
                receiver,
                sender.node_id,
                event.message,
            )

    def _receive(self, receiver, sender, message):
        now_ms = self.clock.time_ms
        received = PeerMessageReceived(sender, message, now_ms)
        receiver.events.publish(received)

    def _confirm(self):
        for node in self.nodes.values():
            revision = node.tables.revision
            confirmed = ServiceConfirmed(self.clock.time_ms, revision)
            node.events.publish(confirmed)

    def _accept(self, node, revision, zones):
        pools = POOLS.replace('z1 z2 z3 z4', zones)
        tables = read_tables(revision, ROUTES, pools).unwrap()
        node.events.publish(TablesAccepted(tables, self.clock.time_ms))

    def _arrive(self):
        if self.clock.time_ms < END_MS:
            self._open()

    def _open(self):
        now_ms = self.clock.time_ms
        rate_per_ms = self.load * WORKERS * SLOTS / SERVICE_MEAN_MS
        gap_ms = self.random.expovariate(rate_per_ms)
        self.clock.at(now_ms + gap_ms, self._arrive)
        dispatcher = self.random.choice(self.dispatchers)
        exchange = dispatcher.open(SHARED_CALL, now_ms, ignore_wake)
        zone = dispatcher.node.availability_zone
        self._step(exchange, now_ms, zone)

    def _send(self, exchange, step, opened_ms, zone):
        target = step.upstream.availability_zone
        now_ms = self.clock.time_ms
        if now_ms < BACK_MS:
            self.last_start_ms[target] = now_ms
        super()._send(exchange, step, opened_ms, zone)

    def _finish(self, step, opened_ms, failed):
        outcome = Outcome.UNKNOWN if failed else step.outcome
        latency_ms = self.clock.time_ms - opened_ms
        self.calls.append((opened_ms, outcome, latency_ms))


def main(policies):
    """Print one row per policy, load and phase."""
    plugins = [
        Plugin(point)
        for point in sorted(
            entry_points(group=PLUGIN_GROUP),
            key=lambda point: point.name,
        )
        if point.value.startswith('figdoor_decisions')
    ]
    print('| load | policy | phase | p50 ms | p99 ms | refused % | failed % |')
    print('|---|---|---|---|---|---|---|')
    for load in LOADS:
        for policy in policies or POLICIES:
            run = ZoneRun(policy, load, 1, plugins).run()
            for phase in PHASES:
                p50, p99, refused, failed = run.phase_figures(phase)
                print(
                    f'| {load:.0%} | {policy} | {phase} | {p50:.1f} |'
                    f' {p99:.1f} | {refused:.3f} | {failed:.3f} |',
                )
            print(
                f'| {load:.0%} | {policy} | last start there after'
                f' {run.late_ms():.0f} ms | | | | |',
                flush=True,
            )


if __name__ == '__main__':
    main([name for name in sys.argv[1:] if not name.startswith('--')])

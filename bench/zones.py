"""Service while an availability zone is removed and restored.

Runs 16 nodes with all decision plug-ins and messages between them on a virtual
clock, against 20 workers of 6 slots in 4 availability zones. One zone is
removed from the tables for three seconds; every node accepts each change
within 200 ms. The workers are healthy, or have the faults of policies.py in
each second. Prints, for each policy, latency and refusals before, during and
after the removal, and how late the last request started in the zone.
Run it with ``.venv/bin/python bench/zones.py [POLICY...]``.
"""

import sys
import time

from policy_run import MEASURE_MS, POOLS, Run, run_seeds
from sizes import pick

NODES = pick(16, quick=2)
CASES = pick(
    (('healthy', 0.5), ('healthy', 0.65), ('troubled', 0.5)),
    quick=(('healthy', 0.02),),
)
POLICIES = ('round-robin', 'power-of-two', 'adaptive')
SEEDS = pick((1, 2, 3), quick=(1,))
OUT_MS = MEASURE_MS + 1000
BACK_MS = OUT_MS + 3000
END_MS = BACK_MS + 3000
FAULTS_MS = tuple(range(MEASURE_MS, END_MS, 1000))
SPREAD_MS = 200
ALL_ZONES = 'z1 z2 z3 z4'
PHASES = {
    'before': (MEASURE_MS, OUT_MS),
    'out': (OUT_MS, BACK_MS),
    'returned': (BACK_MS, END_MS),
}


class ZoneRun(Run):
    """A run in which one zone is removed from the tables and restored."""

    def __init__(self, policy, load, seed, faults_ms):
        super().__init__(policy, load, NODES, seed, END_MS, faults_ms)
        self.last_start_ms = {}
        for at_ms, revision, zones in (
            (OUT_MS, 3, 'z2 z3 z4'),
            (BACK_MS, 4, ALL_ZONES),
        ):
            pools = POOLS.replace(ALL_ZONES, zones)
            for node in self.nodes.values():
                late_ms = at_ms + self.random.uniform(0, SPREAD_MS)
                self.clock.at(late_ms, self.accept, node, revision, pools)

    def late_ms(self):
        """Return the time from the zone's removal to its last started request."""
        return max(0, self.last_start_ms.get('z1', 0) - OUT_MS)

    def _send(self, exchange, step, opened_ms, zone):
        target = step.upstream.availability_zone
        now_ms = self.clock.time_ms
        if now_ms < BACK_MS:
            self.last_start_ms[target] = now_ms
        super()._send(exchange, step, opened_ms, zone)


def measure(case, seed):
    """Return p50, p99, refused and failed of each phase, and the last start."""
    workers, load, policy = case
    faults_ms = FAULTS_MS if workers == 'troubled' else ()
    run = ZoneRun(policy, load, seed, faults_ms).run()
    figures = []
    for begin_ms, end_ms in PHASES.values():
        p50, p99, _, refused, failed = run.figures(begin_ms, end_ms)
        figures += (p50, p99, refused, failed)
    return (*figures, run.late_ms())


def main(policies):
    """Print one row per policy, load and phase."""
    started_s = time.monotonic()
    cases = [
        (workers, load, policy)
        for workers, load in CASES
        for policy in policies or POLICIES
    ]
    print(
        '| workers | load | policy | phase | p50 ms | p99 ms (spread) |'
        ' refused % | failed % | last start there, ms |',
    )
    print('|---|---|---|---|---|---|---|---|---|')
    for (workers, load, policy), row in run_seeds(measure, cases, SEEDS):
        for number, phase in enumerate(PHASES):
            p50, p99, refused, failed = row[4 * number : 4 * number + 4]
            late = f'{row[-1][2]:.0f}' if phase == 'out' else ''
            print(
                f'| {workers} | {load:.0%} | {policy} | {phase} |'
                f' {p50[0]:.1f} | {p99[0]:.1f} ({p99[1]:.1f}-{p99[2]:.1f}) |'
                f' {refused[0]:.3f} | {failed[0]:.3f} | {late} |',
                flush=True,
            )
    print(f'{time.monotonic() - started_s:.0f} s, seeds {SEEDS}')


if __name__ == '__main__':
    main([name for name in sys.argv[1:] if not name.startswith('--')])

"""Compares policies of upstream selection on a virtual clock.

The real dispatcher and nodes with all decision plug-ins send to 20 fake
workers of 6 slots in 4 availability zones. Two workers at a time run at a tenth
of their speed for 200 ms, one fails fast and one restarts cold. ``oracle`` is
no real policy: it knows the true state of the workers, so its figures are a
bound. Run it with
``.venv/bin/python bench/policies.py [--without=PLUGIN] [POLICY...]``.
"""

import sys
import time

from policy_run import MEASURE_MS, Run, run_seeds
from sizes import pick

POLICIES = (
    'random',
    'round-robin',
    'least-requests',
    'power-of-two',
    'adaptive',
    'oracle',
)
LOADS = pick((0.5, 0.8, 0.95), quick=(0.05,))
NODE_COUNTS = pick((1, 16), quick=(2,))
SEEDS = pick((1, 2, 3), quick=(1,))
END_MS = MEASURE_MS + 1000


def measure(case, seed):
    """Return the figures of one run."""
    policy, load, nodes = case
    run = Run(policy, load, nodes, seed, END_MS, [MEASURE_MS]).run()
    return run.figures(MEASURE_MS, END_MS)


def main(arguments):
    """Print one row per policy, load and node count."""
    started_s = time.monotonic()
    policies = [name for name in arguments if not name.startswith('--')]
    cases = [
        (policy, load, nodes)
        for nodes in NODE_COUNTS
        for load in LOADS
        for policy in policies or POLICIES
    ]
    print(
        '| nodes | load | policy | p50 ms | p99 ms (spread) | p99.9 ms |'
        ' refused % | failed % |',
    )
    print('|---|---|---|---|---|---|---|---|')
    for (policy, load, nodes), row in run_seeds(measure, cases, SEEDS):
        p50, p99, p999, refused, failed = row
        print(
            f'| {nodes} | {load:.0%} | {policy} | {p50[0]:.1f} |'
            f' {p99[0]:.1f} ({p99[1]:.1f}-{p99[2]:.1f}) | {p999[0]:.1f} |'
            f' {refused[0]:.3f} | {failed[0]:.3f} |',
            flush=True,
        )
    print(f'{time.monotonic() - started_s:.0f} s, seeds {SEEDS}')


if __name__ == '__main__':
    main(sys.argv[1:])

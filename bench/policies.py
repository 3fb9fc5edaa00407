"""Compares choosing policies on a virtual clock.

The real dispatcher, nodes and decision plug-ins send to fake workers: 20 of
6 slots in 4 availability zones. Two workers at a time slow tenfold for
200 ms, one fails fast and one restarts cold. ``oracle`` is no policy but the
bound that true knowledge gives. Run it with
``.venv/bin/python bench/policies.py [--without-limits] [POLICY...]``.
"""

import gc
import sys
import time
from statistics import median

from policy_run import Run
from sizes import pick

from figdoor_decisions import choosers, eligibility, limits, retries, routing

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
MAX_S = 110


def summarize(runs):
    """Return for each figure its median over the runs and its spread."""
    return [
        (median(column), min(column), max(column))
        for column in zip(*runs, strict=True)
    ]


def run_seeds(cases, plugins):
    """Run all cases seed by seed, as long as another seed fits."""
    began = time.monotonic()
    runs = {case: [] for case in cases}
    for number, seed in enumerate(SEEDS):
        spent_s = time.monotonic() - began
        if number and spent_s * (number + 1) / number > MAX_S:
            break
        for policy, load, nodes in cases:
            figures = Run(policy, load, nodes, seed, plugins).run().figures()
            runs[policy, load, nodes].append(figures)
    return runs


def main(arguments):
    """Print one row per policy, load and node count."""
    # A run allocates cyclic garbage only when it ends.
    gc.freeze()
    began = time.monotonic()
    plugins = [routing, eligibility, choosers, retries]
    if '--without-limits' not in arguments:
        plugins.append(limits)
    policies = [name for name in arguments if not name.startswith('--')]
    cases = [
        (policy, load, nodes)
        for nodes in NODE_COUNTS
        for load in LOADS
        for policy in policies or POLICIES
    ]
    print('nodes load policy          p50 ms  p99 ms [min-max]', end='')
    print('        p99.9 ms  refused %  failed %')
    runs = run_seeds(cases, plugins)
    for policy, load, nodes in cases:
        p50, p99, p999, refused, failed = summarize(runs[policy, load, nodes])
        print(
            f'{nodes:5} {load:4.0%} {policy:14} {p50[0]:7.1f}'
            f' {p99[0]:7.1f} [{p99[1]:.1f}-{p99[2]:.1f}]'.ljust(56)
            + f'{p999[0]:10.1f} {refused[0]:10.3f} {failed[0]:9.3f}',
        )
    seeds = SEEDS[: len(runs[cases[0]])]
    print(f'{time.monotonic() - began:.0f} s, seeds {seeds}')


if __name__ == '__main__':
    main(sys.argv[1:])

"""Latency that gateways add to a call with nested inner calls.

``.venv/bin/python bench/levels.py`` prints the table of the section 'Levels'
in docs/MEASUREMENTS.md. Each upstream calls the next level before it responds.
Runs alternate between direct calls and calls through two gateways, at the same
number of calls per second over all levels. The added latency is the difference
of the quantiles; each figure is the median over the repeats, with the lowest
and highest in brackets.
"""

from absl import app, flags
from live import POOLS, ROUTES, SLOTS, describe
from sizes import pick

from figdoor_standins.deployment import Deployment

FLAGS = flags.FLAGS
flags.DEFINE_list(
    'levels',
    pick(['1', '6', '22'], quick=['2']),
    'levels of calls, each through a gateway',
)
flags.DEFINE_integer('repeats', pick(3, quick=1), 'runs of each case')
flags.DEFINE_integer(
    'requests',
    pick(600, quick=20),
    'requests at the outermost level of each run',
)
flags.DEFINE_boolean('quick', False, 'one small run; its figures mean nothing')
flags.DEFINE_integer('rate', 400, 'calls per second over all levels')

WARM_UP = pick(50, quick=5)
QUANTILES = ('p50_ms', 'p99_ms')


def run_once(deployment, targets, levels):
    """Return the result of a run, and its number of unanswered requests."""
    ports = [str(target.port) for target in targets]
    for upstream in deployment.upstreams:
        upstream.control(call_ports=','.join(ports))
    result = deployment.start_caller(
        ports,
        connections=16,
        requests=FLAGS.requests + WARM_UP,
        rate=FLAGS.rate / levels,
        warm_up=WARM_UP,
        levels=levels - 1,
        seconds=120,
    ).result(150)
    outcomes = list(result['told'].values())
    return result, len(outcomes) - outcomes.count('answered')


def measure(deployment, levels):
    """Print the row of one number of levels."""
    added = {name: [] for name in QUANTILES}
    direct_ms = []
    unanswered = 0
    for _ in range(FLAGS.repeats):
        direct, _ = run_once(deployment, deployment.upstreams, levels)
        proxied, count = run_once(deployment, deployment.gateways, levels)
        unanswered += count
        direct_ms.append(direct['p99_ms'])
        for name in QUANTILES:
            added[name].append(proxied[name] - direct[name])
    cells = [str(levels), *map(describe, added.values()), describe(direct_ms)]
    print('|', ' | '.join(cells), '|', unanswered, '|', flush=True)


def main(_):
    """Measure all cases and print the table."""
    print(
        '| levels | p50 added, ms | p99 added, ms | direct p99, ms |'
        ' not answered |',
    )
    print('|---|---|---|---|---|')
    with Deployment() as deployment:
        deployment.platform.publish(ROUTES, POOLS)
        for number in range(3):
            deployment.add_upstream(
                f'w{number}',
                'work',
                'z1',
                service_ms=0,
                slots=SLOTS,
            )
        for number in range(2):
            deployment.add_gateway(f'g{number}', 'z1')
        deployment.wait_ready()
        deployment.wait_answering('/work')
        for levels in FLAGS.levels:
            measure(deployment, int(levels))


if __name__ == '__main__':
    app.run(main)

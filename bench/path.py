"""Latency and CPU time that a gateway adds to a call.

``.venv/bin/python bench/path.py`` prints the table of the section 'Request
path' in docs/MEASUREMENTS.md. Runs at the same constant rate alternate
between direct calls to a stand-in upstream and calls through one gateway. The
added latency is the difference of the quantiles; each figure is the median over
the repeats, with the lowest and highest in brackets. Only answered requests
count.
"""

import json

from absl import app, flags
from live import POOLS, ROUTES, SLOTS, describe
from sizes import pick

from figdoor_standins.deployment import Deployment

FLAGS = flags.FLAGS
flags.DEFINE_integer('repeats', pick(5, quick=1), 'runs of each case')
flags.DEFINE_integer('requests', pick(1200, quick=50), 'requests of each run')
flags.DEFINE_integer('rate', 500, 'requests per second')
flags.DEFINE_list(
    'connections',
    pick(['1', '16', '64'], quick=['4']),
    'connections of callers',
)
flags.DEFINE_list(
    'sizes',
    pick(['1024', '65536'], quick=['1024']),
    'sizes of the responses in bytes',
)
flags.DEFINE_boolean('quick', False, 'one small run; its figures mean nothing')
flags.DEFINE_boolean('json', False, 'print the raw figures too')

WARM_UP = 200
QUANTILES = ('p50_ms', 'p99_ms', 'p999_ms')


def run_once(deployment, port, connections):
    """Return the result of a run, and its counts of answered and all requests."""
    caller = deployment.start_caller(
        [port],
        connections=connections,
        requests=FLAGS.requests + WARM_UP,
        rate=FLAGS.rate,
        warm_up=WARM_UP,
        seconds=60,
    )
    result = caller.result()
    outcomes = list(result['told'].values())
    return result, outcomes.count('answered'), len(outcomes)


def measure(deployment, connections):
    """Return the added figures of one repeat."""
    upstream = deployment.upstreams[0]
    gateway = deployment.gateways[0]
    direct, _, _ = run_once(deployment, upstream.port, connections)
    cpu_before_s = gateway.cpu_s
    proxied, answered, sent = run_once(deployment, gateway.port, connections)
    figures = {name: proxied[name] - direct[name] for name in QUANTILES}
    figures['direct_p99_ms'] = direct['p99_ms']
    figures['cpu_us'] = 1_000_000 * (gateway.cpu_s - cpu_before_s) / sent
    figures['unanswered'] = sent - answered
    return figures


def main(_):
    """Measure all cases and print the table."""
    print(
        '| response | connections | p50 added, ms | p99 added, ms |'
        ' p99.9 added, ms | direct p99, ms | CPU, µs | not answered |',
    )
    print('|---|---|---|---|---|---|---|---|')
    with Deployment() as deployment:
        deployment.platform.publish(ROUTES, POOLS)
        deployment.add_upstream(
            'w1',
            'work',
            'z1',
            service_ms=0,
            slots=SLOTS,
        )
        deployment.add_gateway('g1', 'z1')
        deployment.wait_ready()
        deployment.wait_answering('/work')
        for size in FLAGS.sizes:
            deployment.upstreams[0].control(answer_bytes=size)
            for connections in FLAGS.connections:
                repeats = [
                    measure(deployment, int(connections))
                    for _ in range(FLAGS.repeats)
                ]
                columns = {
                    name: [figures[name] for figures in repeats]
                    for name in repeats[0]
                }
                cells = [size, connections]
                cells.extend(describe(columns[name]) for name in QUANTILES)
                cells.append(describe(columns['direct_p99_ms']))
                cells.append(describe(columns['cpu_us'], 0))
                cells.append(str(sum(columns['unanswered'])))
                print('|', ' | '.join(cells), '|', flush=True)
                if FLAGS.json:
                    print(json.dumps(repeats), flush=True)


if __name__ == '__main__':
    app.run(main)

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
from random import Random
from statistics import median

from fake_workers import (
    LOCAL_ONE_WAY_MS,
    REMOTE_ONE_WAY_MS,
    SERVICE_MEAN_MS,
    SLOTS,
    VirtualClock,
    Worker,
)

from figdoor_decisions import choosers, eligibility, limits, retries, routing
from figdoor_kernel import (
    AttemptResult,
    AttemptState,
    Call,
    Dispatcher,
    Extension,
    Finish,
    Node,
    Options,
    Outcome,
    Registry,
    Send,
    TablesAccepted,
    Tick,
    Vm,
    VmList,
    VmListChanged,
)
from figdoor_tables import read_tables

POLICIES = (
    'random',
    'round-robin',
    'least-requests',
    'power-of-two',
    'adaptive',
    'oracle',
)
LOADS = (0.5, 0.8, 0.95)
NODE_COUNTS = (1, 16)
SEEDS = (1, 2, 3)
WORKERS = 20
ZONES = ('z1', 'z2', 'z3', 'z4')
TICK_MS = 50
WARM_UP_MS = 200
END_MS = 1200
SLOW_STARTS_MS = (250, 600, 950)
SLOW_MS = 200
FAILING_MS = (300, 600)
RESTART_MS = 700

ROUTES = """
route, authority, path_prefix, operations, pool, idempotent, tenant, deadline_ms, retry_percent
read,  *,         /,           *,          work, GET,        all,    1000,        20
"""
POOLS = f"""
pool, service, availability_zones, slots, connections, cold_limit, probes_per_s
work, work,    z1 z2 z3 z4,        {SLOTS}, 250,       1,          2
"""
SHARED_CALL = Call('GET', 'any.example', '/x', 1)


def ignore_wake():
    """Need no waking: a waiting exchange asks again in time."""


class Oracle:
    """Knows the true state of every worker; shows what can be reached."""

    def __init__(self, node, workers):
        self._zone = node.availability_zone
        self._random = node.random
        self._workers = workers

    def choose(self, candidates, routed, now_ms):
        shuffled = self._random.sample(candidates, len(candidates))
        return min(shuffled, key=self._cost)

    def _cost(self, upstream):
        worker = self._workers[upstream.upstream_id]
        # Own requests may still be on their way to the worker.
        busy = max(upstream.in_flight, worker.report().running)
        is_remote = upstream.availability_zone != self._zone
        return (worker.is_troubled, busy, is_remote)


class Run:
    """One policy at one load from some nodes with one seed."""

    def __init__(self, policy, load, nodes, seed, plugins):
        self.clock = VirtualClock()
        self.random = Random(seed)
        self.load = load
        self.latencies_ms = []
        self.opened = 0
        self.refused = 0
        self.failed = 0
        self.workers = self._make_workers(Random(seed + 100))
        vm_list = VmList(
            tuple(
                Vm(name, 'work', zone_of(index), '127.0.0.1', 1)
                for index, name in enumerate(self.workers)
            )
            + tuple(
                Vm(f'n{index}', 'figdoor', zone_of(index), '127.0.0.1', 2)
                for index in range(nodes)
            ),
        )
        tables = read_tables(1, ROUTES, POOLS).unwrap()
        self.dispatchers = []
        for index in range(nodes):
            registry = Registry()
            for plugin in plugins:
                plugin.register(registry)
            registry.provide(Extension.CHOOSER, 'oracle', self._make_oracle)
            node = Node(
                f'n{index}',
                zone_of(index),
                self.clock,
                Random(self.random.random()),
                registry,
                Options(chooser=policy),
            )
            self.dispatchers.append(Dispatcher(node))
            node.events.publish(VmListChanged(vm_list, 0))
            node.events.publish(TablesAccepted(tables, 0))

    def run(self):
        """Let calls arrive until the end and all be answered."""
        self.clock.at(0, self._arrive)
        for tick_ms in range(0, END_MS, TICK_MS):
            self.clock.at(tick_ms, self._tick)
        self.clock.run()
        return self

    def figures(self):
        """Return p50, p99 and p99.9, refused and failed shares."""
        ordered = sorted(self.latencies_ms)
        return (
            *(
                ordered[int(len(ordered) * share)]
                for share in (0.5, 0.99, 0.999)
            ),
            100 * self.refused / self.opened,
            100 * self.failed / self.opened,
        )

    def _make_oracle(self, node):
        return Oracle(node, self.workers)

    def _make_workers(self, random):
        workers = {
            f'w{index}': Worker(f'w{index}', self.clock, self.random)
            for index in range(WORKERS)
        }
        names = list(workers)
        for start_ms in SLOW_STARTS_MS:
            for name in random.sample(names, 2):
                workers[name].slow.append((start_ms, start_ms + SLOW_MS))
        failing, restarting = random.sample(names, 2)
        workers[failing].failing = FAILING_MS
        self.clock.at(RESTART_MS, workers[restarting].restart)
        return workers

    def _tick(self):
        for dispatcher in self.dispatchers:
            dispatcher.node.events.publish(Tick(self.clock.time_ms))

    def _arrive(self):
        now_ms = self.clock.time_ms
        if now_ms >= END_MS:
            return
        rate_per_ms = self.load * WORKERS * SLOTS / SERVICE_MEAN_MS
        self.clock.at(
            now_ms + self.random.expovariate(rate_per_ms),
            self._arrive,
        )
        dispatcher = self.random.choice(self.dispatchers)
        exchange = dispatcher.open(SHARED_CALL, now_ms, ignore_wake)
        zone = dispatcher.node.availability_zone
        self._step(exchange, now_ms, zone)

    def _step(self, exchange, opened_ms, zone):
        now_ms = self.clock.time_ms
        step = exchange.next_step(now_ms)
        if isinstance(step, Finish):
            self._finish(step, opened_ms, failed=False)
        elif isinstance(step, Send):
            self._send(exchange, step, opened_ms, zone)
        else:
            self.clock.at(step.until_ms, self._step, exchange, opened_ms, zone)

    def _send(self, exchange, step, opened_ms, zone):
        now_ms = self.clock.time_ms
        worker = self.workers[step.upstream.upstream_id]
        is_local = step.upstream.availability_zone == zone
        one_way_ms = LOCAL_ONE_WAY_MS if is_local else REMOTE_ONE_WAY_MS

        def take(seen, report):
            now_ms = self.clock.time_ms
            if report is not None:
                exchange.report(report, now_ms)
            if seen.state is AttemptState.ANSWERED:
                exchange.begin_answer()
            exchange.end(seen, now_ms)
            if seen.failed:
                self._finish(Finish(Outcome.ANSWERED), opened_ms, failed=True)
            else:
                self._step(exchange, opened_ms, zone)

        def answer(seen, report):
            self.clock.at(self.clock.time_ms + one_way_ms, take, seen, report)

        if worker.is_down:
            # Its connections are closed and it accepts no new one.
            refused = AttemptResult(
                AttemptState.UNSENT_FAILURE,
                connection_died=True,
            )
            self.clock.at(now_ms + 2 * one_way_ms, take, refused, None)
        elif exchange.confirm_send(now_ms):
            self.clock.at(now_ms + one_way_ms, worker.arrive, answer)
        else:
            self._step(exchange, opened_ms, zone)

    def _finish(self, step, opened_ms, failed):
        if opened_ms < WARM_UP_MS:
            return
        self.opened += 1
        if step.outcome is Outcome.NOT_RUN:
            self.refused += 1
        elif failed or step.outcome is Outcome.UNKNOWN:
            self.failed += 1
        else:
            self.latencies_ms.append(self.clock.time_ms - opened_ms)


def zone_of(index):
    """Spread workers and nodes evenly."""
    return ZONES[index % len(ZONES)]


def measure(policy, load, nodes, plugins, seeds=SEEDS):
    """Return for each figure its median over the seeds and its spread."""
    runs = [
        Run(policy, load, nodes, seed, plugins).run().figures()
        for seed in seeds
    ]
    return [
        (median(column), min(column), max(column))
        for column in zip(*runs, strict=True)
    ]


def main(arguments):
    """Print one row per policy, load and node count."""
    # A run allocates cyclic garbage only when it ends.
    gc.freeze()
    began = time.monotonic()
    plugins = [routing, eligibility, choosers, retries]
    if '--without-limits' not in arguments:
        plugins.append(limits)
    policies = [name for name in arguments if not name.startswith('--')]
    print('nodes load policy          p50 ms  p99 ms [min-max]', end='')
    print('        p99.9 ms  refused %  failed %')
    for nodes in NODE_COUNTS:
        for load in LOADS:
            for policy in policies or POLICIES:
                row = measure(policy, load, nodes, plugins)
                p50, p99, p999, refused, failed = row
                print(
                    f'{nodes:5} {load:4.0%} {policy:14} {p50[0]:7.1f}'
                    f' {p99[0]:7.1f} [{p99[1]:.1f}-{p99[2]:.1f}]'.ljust(56)
                    + f'{p999[0]:10.1f} {refused[0]:10.3f} {failed[0]:9.3f}',
                    flush=True,
                )
    print(f'{time.monotonic() - began:.0f} s, seeds {SEEDS}')


if __name__ == '__main__':
    main(sys.argv[1:])

"""Measures the dispatch of a call over 20 upstreams, without I/O.

A dispatch is opening, selection, confirmation, response with a load report and
end of one call. Run it with ``.venv/bin/python bench/dispatch.py``.
"""

import time
from random import Random

from sizes import pick

from figdoor_kernel import (
    AttemptResult,
    AttemptState,
    Call,
    ConfigReadSucceeded,
    Dispatcher,
    Extension,
    Finish,
    LoadReport,
    Node,
    Options,
    TablesAccepted,
    Vm,
    VmList,
    VmListChanged,
    load_plugins,
)
from figdoor_tables import read_tables

UPSTREAMS = 20
CALLS = pick(5000, quick=100)
WARM_UP_CALLS = 500
# By then the node acts as owner of its upstreams, which start cold.
OWNER_ACTIVE_MS = 10_000.0
CHOOSERS = ('round-robin', 'power-of-two', 'adaptive')
CALL = Call('GET', 'any.example', '/x', 1)
ANSWERED = AttemptResult(AttemptState.ANSWERED)
ROUTES = """
route, authority, path_prefix, operations, pool, idempotent, tenant, deadline_ms, retry_percent
read,  *,         /,           *,          work, GET,        all,    1000,        20
"""
POOLS = """
pool, service, availability_zones, slots, connections, cold_limit, probes_per_s
work, work,    z1 z2 z3 z4,        6,     250,         1,          2
"""


class StoppedClock:
    def now_ms(self):
        return 0.0


def make_dispatcher(chooser):
    """Return the dispatcher of a node with all decision plug-ins."""
    registry = load_plugins('figdoor_decisions')
    node = Node(
        'n0',
        'z1',
        StoppedClock(),
        Random(1),
        registry,
        Options(chooser=chooser),
    )
    for extension, factories in registry.factories().items():
        for name in factories:
            # As in the gateway, only the selected chooser is built.
            if extension is not Extension.CHOOSER or name == chooser:
                node.part(extension, name)
    dispatcher = Dispatcher(node)
    vms = [
        Vm(f'w{index}', 'work', f'z{index % 4 + 1}', '127.0.0.1', 1)
        for index in range(UPSTREAMS)
    ]
    vms.append(Vm('n0', 'figdoor', 'z1', '127.0.0.1', 2))
    node.events.publish(VmListChanged(VmList(tuple(vms)), 0))
    tables = read_tables(1, ROUTES, POOLS).unwrap()
    node.events.publish(TablesAccepted(tables, 0))
    return dispatcher


def dispatch(dispatcher, now_ms):
    """Dispatch one call; returns whether it was answered."""
    exchange = dispatcher.open(CALL, now_ms, lambda: None)
    if isinstance(exchange.next_step(now_ms), Finish):
        return False
    if not exchange.confirm_send(now_ms):
        return False
    exchange.report(LoadReport('a', 1), now_ms)
    exchange.begin_response()
    exchange.end(ANSWERED, now_ms)
    return True


def measure(chooser):
    """Return p50 and p99 of one dispatch in microseconds."""
    dispatcher = make_dispatcher(chooser)
    durations_us = []
    now_ms = OWNER_ACTIVE_MS
    for number in range(WARM_UP_CALLS + CALLS):
        now_ms += 1
        # Calls are 1 ms apart; this renews the config lease in time.
        if not number % WARM_UP_CALLS:
            dispatcher.node.events.publish(ConfigReadSucceeded(now_ms, 1))
        started_s = time.perf_counter()
        answered = dispatch(dispatcher, now_ms)
        durations_us.append((time.perf_counter() - started_s) * 1e6)
        if not answered:
            raise SystemExit('a call was not answered, so there are no figures')
    ordered = sorted(durations_us[WARM_UP_CALLS:])
    return ordered[CALLS // 2], ordered[CALLS * 99 // 100]


if __name__ == '__main__':
    for name in CHOOSERS:
        p50_us, p99_us = measure(name)
        print(f'{name:14} p50 {p50_us:6.1f} us  p99 {p99_us:6.1f} us')

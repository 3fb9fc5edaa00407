"""Cost of load probes for upstreams and nodes, on a virtual clock.

Prints the probes per upstream against its budget, from several idle nodes, and
the CPU time that a node spends on scheduling them. Run it with
``.venv/bin/python bench/measuring.py``.
"""

import time
from collections import Counter
from random import Random

from fake_workers import VirtualClock
from sizes import pick

from figdoor_decisions import configuration, measuring
from figdoor_kernel import (
    Extension,
    Node,
    ProbeRequested,
    Registry,
    TablesAccepted,
    Tick,
    Vm,
    VmList,
    VmListChanged,
)
from figdoor_tables import read_tables

BUDGET_PER_S = 2
RUN_S = pick(120, quick=1)
TICK_MS = 50
LIST_READ_MS = 1000
# Running nodes, listed nodes and upstreams.
SIZES = (
    (1, 1, 20),
    (5, 5, 20),
    (16, 16, 20),
    (20, 20, 20),
    (1, 640, 6700),
)
ROUTES = """
route, authority, path_prefix, operations, pool, idempotent, tenant, deadline_ms, retry_percent
read,  *,         /,           *,          work, GET,        all,    1000,        20
"""
POOLS = f"""
pool, service, availability_zones, slots, connections, cold_limit, probes_per_s
work, work,    z1,                 6,     250,         1,          {BUDGET_PER_S}
"""


def run(nodes, listed, upstreams):
    """Return the probes and the CPU seconds of ``nodes`` running nodes.

    The VM list has ``listed`` nodes; those beyond ``nodes`` do not run.
    """
    clock = VirtualClock()
    registry = Registry()
    measuring.register(registry)
    # The prober asks the config lease whether the node is up to date.
    configuration.register(registry)
    vms = [
        Vm(f'w{index}', 'work', 'z1', '127.0.0.1', 1)
        for index in range(upstreams)
    ]
    vms += [
        Vm(f'n{index}', 'figdoor', 'z1', '127.0.0.1', 2)
        for index in range(listed)
    ]
    vm_list = VmList(tuple(vms))
    tables = read_tables(1, ROUTES, POOLS).unwrap()
    probes = []
    running_nodes = []
    for index in range(nodes):
        node = Node(f'n{index}', 'z1', clock, Random(index), registry)
        node.part(Extension.SERVICE, 'measuring')
        node.events.subscribe(ProbeRequested, probes.append)
        node.events.publish(TablesAccepted(tables, 0))
        running_nodes.append(node)
    cpu_s = 0.0
    for now_ms in range(0, RUN_S * 1000, TICK_MS):
        clock.time_ms = now_ms
        for node in running_nodes:
            if now_ms % LIST_READ_MS == 0:
                node.events.publish(VmListChanged(vm_list, now_ms))
            started_s = time.process_time()
            node.events.publish(Tick(now_ms))
            cpu_s += time.process_time() - started_s
    return probes, cpu_s


def main():
    """Print one row per number of nodes."""
    print(f'budget {BUDGET_PER_S}/s per upstream, {RUN_S} s')
    print(
        'nodes listed upstreams  probes/s  worst upstream  worst second  core %'
    )
    for nodes, listed, upstreams in SIZES:
        probes, cpu_s = run(nodes, listed, upstreams)
        per_upstream = Counter(probe.upstream for probe in probes)
        per_second = Counter(
            (probe.upstream, probe.now_ms // 1000) for probe in probes
        )
        mean = len(probes) / upstreams / RUN_S
        worst = max(per_upstream.values(), default=0) / RUN_S
        burst = max(per_second.values(), default=0)
        share = 100 * cpu_s / nodes / RUN_S
        print(
            f'{nodes:5} {listed:6} {upstreams:9} {mean:9.2f} {worst:15.2f} {burst:13}'
            f' {share:7.3f}',
        )


if __name__ == '__main__':
    main()

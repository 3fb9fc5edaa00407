"""Time and memory of the VM list against its length.

Prints, for several fleets, the time to read a list from JSON, the time that
all decision plug-ins of a node take to follow a list in which one VM changed,
and the memory that a node keeps.
"""

import gc
import json
import statistics
import time
import tracemalloc
from random import Random

from sizes import pick

from figdoor_gateway.platform import read_vm_list
from figdoor_kernel import (
    AvailabilityZoneName,
    Extension,
    Node,
    NodeId,
    VmListChanged,
    load_plugins,
)

SIZES = pick(
    ((30, 20), (1000, 100), (3350, 320), (6700, 640)),
    quick=((30, 20),),
)
REPEATS = pick(5, quick=2)
ZONES = 7


class FixedClock:
    """A clock that the bench sets."""

    def __init__(self):
        self.time_ms = 0.0

    def now_ms(self):
        return self.time_ms


def make_rows(workers, nodes, changed=0):
    """Return the rows of a VM list; ``changed`` gives one VM a new port."""
    rows = []
    for number in range(workers + nodes):
        is_node = number >= workers
        rows.append(
            {
                'id': f'vm-{number}',
                'service': 'figdoor' if is_node else f'service-{number // 6}',
                'availability_zone': f'zone-{number % ZONES}',
                'host': f'10.0.{number // 250}.{number % 250}',
                'port': 8082 + (changed if number == 0 else 0),
                'state': 'live',
            },
        )
    return rows


def make_decisions():
    """Return a node with all decision plug-ins."""
    registry = load_plugins()
    node = Node(
        NodeId('vm-6700'),
        AvailabilityZoneName('zone-0'),
        FixedClock(),
        Random(1),
        registry,
    )
    for extension in (
        Extension.ROUTER,
        Extension.ADMISSION_RULE,
        Extension.CANDIDATE_RULE,
        Extension.PERMIT_SOURCE,
        Extension.RETRY_RULE,
        Extension.SERVICE,
    ):
        for name, factory in registry.factories().get(extension, {}).items():
            if factory.__module__.startswith('figdoor_decisions'):
                node.part(extension, name)
    return node


def median_ms(action, repeats=REPEATS):
    """Return median, lowest and highest time of an action."""
    times_ms = []
    for turn in range(repeats):
        started_s = time.perf_counter()
        action(turn)
        times_ms.append((time.perf_counter() - started_s) * 1000)
    low, high = min(times_ms), max(times_ms)
    return f'{statistics.median(times_ms):.1f} ({low:.1f}..{high:.1f})'


def measure(workers, nodes):
    """Return one row of the table."""
    texts = [
        json.dumps({'vms': make_rows(workers, nodes, turn)})
        for turn in range(REPEATS + 1)
    ]
    read = median_ms(lambda turn: read_vm_list(json.loads(texts[turn])['vms']))
    lists = [read_vm_list(json.loads(text)['vms']) for text in texts]
    node = make_decisions()
    node.events.publish(VmListChanged(lists[-1], 0))
    follow = median_ms(
        lambda turn: node.events.publish(VmListChanged(lists[turn], turn)),
    )
    gc.collect()
    tracemalloc.start()
    other = make_decisions()
    base = tracemalloc.get_traced_memory()[0]
    vm_list = read_vm_list(json.loads(texts[0])['vms'])
    other.events.publish(VmListChanged(vm_list, 0))
    gc.collect()
    kept_kb = (tracemalloc.get_traced_memory()[0] - base) / 1000
    tracemalloc.stop()
    text_kb = len(texts[0]) / 1000
    return (
        f'{workers}+{nodes} | {text_kb:.0f} | {read} | {follow} | {kept_kb:.0f}'
    )


def main():
    """Print the table."""
    print('workers+nodes | text KB | read ms | follow ms | kept KB')
    for workers, nodes in SIZES:
        print(measure(workers, nodes))


if __name__ == '__main__':
    main()

"""Time and memory of the VM list by its length.

Prints, for several fleets, the time to read a list from JSON, the time that
all decision plug-ins of a node take to apply a list in which one VM changed,
the time of the same change by a difference from a peer, and the memory that a
node uses.

The second table shows how changes of the list reach a fleet on the virtual
clock: full reads, bytes of differences as the codec encodes them (with 28
bytes of IP and UDP headers), and the time until every node has the change. Its
nodes have only the parts that this needs and 600 workers, since the number of
full reads does not depend on the length. The bytes of a full read are those of
the longest list of the first table.

Run ``.venv/bin/python bench/vm_list.py``; it takes about two minutes.
"""

import gc
import json
import statistics
import time
import tracemalloc
from random import Random

from sizes import pick
from spreading import ZONES, ListPropagation

from figdoor_decisions.listing._differences import (
    VmListSnapshot,
    checksum_of,
    differences_between,
)
from figdoor_gateway.platform import read_vm_list
from figdoor_kernel import (
    AvailabilityZoneName,
    Extension,
    Node,
    NodeId,
    UpdateReceived,
    VmListChanged,
    load_plugins,
)
from figdoor_standins.clock import ManualClock

SIZES = pick(
    ((30, 20), (1000, 100), (3350, 320), (6700, 640)),
    quick=((30, 20),),
)
REPEATS = pick(5, quick=2)
FLEETS = pick((20, 40, 160, 640), quick=(20,))
CHANGES = pick(10, quick=1)
CHANGES_PER_S = 3 * (26 + 2100) / 86_400


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


def make_node():
    """Return a node with all decision plug-ins."""
    registry = load_plugins('figdoor_decisions')
    node = Node(
        NodeId('vm-6700'),
        AvailabilityZoneName('zone-0'),
        ManualClock(),
        Random(1),
        registry,
    )
    for extension, factories in registry.factories().items():
        if extension is not Extension.CHOOSER:
            for name in factories:
                node.part(extension, name)
    return node


def time_action(action, repeats=REPEATS):
    """Return median, lowest and highest time of an action as text."""
    times_ms = []
    for index in range(repeats):
        started_s = time.perf_counter()
        action(index)
        times_ms.append((time.perf_counter() - started_s) * 1000)
    low, high = min(times_ms), max(times_ms)
    return f'{statistics.median(times_ms):.1f} ({low:.1f}..{high:.1f})'


def measure(workers, nodes):
    """Return one row of the first table."""
    texts = [
        json.dumps({'vms': make_rows(workers, nodes, index)})
        for index in range(REPEATS + 1)
    ]
    read = time_action(
        lambda index: read_vm_list(json.loads(texts[index])['vms'])
    )
    lists = [read_vm_list(json.loads(text)['vms']) for text in texts]
    node = make_node()
    node.events.publish(VmListChanged(lists[-1], 0))
    by_list = time_action(
        lambda index: node.events.publish(VmListChanged(lists[index], index)),
    )
    by_difference = time_differences(node, lists)
    gc.collect()
    tracemalloc.start()
    fresh_node = make_node()
    base = tracemalloc.get_traced_memory()[0]
    vm_list = read_vm_list(json.loads(texts[0])['vms'])
    fresh_node.events.publish(VmListChanged(vm_list, 0))
    gc.collect()
    used_kb = (tracemalloc.get_traced_memory()[0] - base) / 1000
    tracemalloc.stop()
    text_kb = len(texts[0]) / 1000
    return (
        f'{workers}+{nodes} | {text_kb:.0f} | {read} | {by_list}'
        f' | {by_difference} | {used_kb:.0f}'
    )


def time_differences(node, lists):
    """Return the same figures for the same changes applied as differences."""
    versions = [
        VmListSnapshot(f'v{index}', vm_list, checksum_of(vm_list.vms))
        for index, vm_list in enumerate(lists)
    ]
    vm_lists = node.part(Extension.SERVICE, 'vm-lists')
    vm_lists.receive_list('v0', lists[0], 0)

    def apply(index):
        (part,) = differences_between(versions[index], versions[index + 1])
        started_s = time.perf_counter()
        vm_lists.receive_version(f'v{index + 1}', 0)
        node.events.publish(UpdateReceived(NodeId('vm-6701'), part, 0))
        return (time.perf_counter() - started_s) * 1000

    times_ms = [apply(index) for index in range(REPEATS)]
    assert vm_lists.version == f'v{REPEATS}'
    low, high = min(times_ms), max(times_ms)
    return f'{statistics.median(times_ms):.1f} ({low:.1f}..{high:.1f})'


def spread(size, full_bytes):
    """Return one row of the second table."""
    fleet = ListPropagation(size)
    times_ms = []
    for _ in range(CHANGES):
        fleet.run(fleet.random.uniform(0, 1000))
        times_ms.append(fleet.change())
    reads = fleet.full_reads.total() / CHANGES
    messages = fleet.messages / CHANGES / size
    sent = fleet.bytes / CHANGES / size
    per_s = CHANGES_PER_S * (reads / size * full_bytes + 2 * sent)
    return (
        f'{size} | {reads:.1f} | {messages:.1f} | {sent:.0f} | {per_s:.0f}'
        f' | {statistics.median(times_ms):.0f} | {max(times_ms):.0f}'
    )


def main():
    """Print both tables."""
    print(
        'workers+nodes | text KB | read ms | apply ms | by difference ms'
        ' | memory KB',
    )
    for workers, nodes in SIZES:
        print(measure(workers, nodes))
    full_bytes = len(json.dumps({'vms': make_rows(*SIZES[-1])}))
    print()
    print(
        'nodes | full reads per change | differences sent per node and change'
        ' | bytes sent per node and change | bytes/s per node, both directions'
        ' | all nodes after ms, median | longest',
    )
    for size in FLEETS:
        print(spread(size, full_bytes))


if __name__ == '__main__':
    main()

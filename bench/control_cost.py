"""Cost of control traffic per node: messages, bytes and CPU time.

Runs the real decision plug-ins and codec on the virtual clock with 4 to 128
nodes, and with 640 for a shorter time. Bytes include the 28 bytes of IP and
UDP headers of each datagram. CPU time is what a node spends on encoding,
decoding, decisions and ticks; system calls of the sockets are measured
separately on loopback.

Run ``.venv/bin/python bench/control_cost.py``.
"""

import gc
import json
import socket
import sys
import time
from pathlib import Path
from random import Random
from statistics import median

sys.path.insert(0, str(Path(__file__).parents[1] / 'tests'))

from sizes import pick
from support import (
    ManualClock,
    io_free_registry,
    node_vm,
    publish_tables,
    tables,
)

from figdoor_gateway.peers import decode, encode
from figdoor_gateway.platform import read_vm_list
from figdoor_kernel import (
    AvailabilityZoneName,
    BroadcastRequested,
    Extension,
    Node,
    NodeId,
    Options,
    PeerMessageReceived,
    PeerSendRequested,
    Tick,
    UpstreamTurnedCold,
    UpstreamWarm,
    VmList,
    VmListChanged,
)

SIZES = pick((4, 8, 16, 32, 128), quick=(2, 4))
TARGET_NODES = pick(640, quick=8)
IP_UDP_HEADER_BYTES = 28
TICK_MS = 50
WARM_UP_S = 3
MEASURED_S = pick(120, quick=1)
MEASURED_TARGET_S = pick(20, quick=1)
# On an ordinary day of the target fleet 2,100 upstreams are restarted or
# replaced, and each turns cold once and warm once. Each of these updates has
# one origin.
UPDATES_PER_DAY = 2 * 2100
SECONDS_PER_DAY = 86_400
TARGET_BYTES_PER_S = 4000
TARGET_CORE_PERCENT = 1.1
ROUND_TRIPS = pick(20_000, quick=100)
VM_LIST_READS = pick(20, quick=1)


class Fleet:
    """Nodes that exchange encoded datagrams in a queue."""

    def __init__(self, size):
        self.clock = ManualClock()
        self.queue = []
        self.messages = 0
        self.bytes = 0
        self.busy_s = 0
        registry = io_free_registry()
        rows = tuple(
            node_vm(f'entry-{number:03}', f'z{number % 4}')
            for number in range(size)
        )
        self.nodes = {
            row.vm_id: self.make(row, number, registry)
            for number, row in enumerate(rows)
        }
        for node in self.nodes.values():
            node.events.publish(VmListChanged(VmList(rows), 0))
            publish_tables(node, tables())

    def make(self, row, seed, registry):
        node = Node(
            NodeId(row.vm_id),
            AvailabilityZoneName(row.availability_zone),
            self.clock,
            Random(seed),
            registry,
            Options(chooser='random'),
        )
        node.parts(Extension.SERVICE)

        def send(event):
            datagram = encode(node.node_id, event.message)
            self.messages += 1
            self.bytes += len(datagram) + IP_UDP_HEADER_BYTES
            self.queue.append((event.target, datagram))

        node.events.subscribe(PeerSendRequested, send)
        return node

    def run(self, duration_s, updates_per_s):
        """Advance the clock; random nodes broadcast updates at the rate."""
        random = Random(1)
        # Measures the whole loop, with the cost of the queue: the CPU clock is
        # too coarse to sum small intervals.
        started_s = time.process_time()
        for _ in range(round(duration_s * 1000 / TICK_MS)):
            self.clock.advance_ms(TICK_MS)
            if random.random() < updates_per_s * TICK_MS / 1000:
                self.broadcast(random)
            now_ms = self.clock.now_ms()
            for node in self.nodes.values():
                node.events.publish(Tick(now_ms))
            while self.queue:
                self.deliver(now_ms)
        self.busy_s += time.process_time() - started_s

    def broadcast(self, random):
        kind = random.choice((UpstreamTurnedCold, UpstreamWarm))
        update = kind(f'w{random.randrange(6700)}', 'instance-1')
        node = random.choice(list(self.nodes.values()))
        node.events.publish(BroadcastRequested(update, self.clock.now_ms()))

    def deliver(self, now_ms):
        datagrams, self.queue = self.queue, []
        for target, datagram in datagrams:
            sender, message = decode(datagram)
            event = PeerMessageReceived(sender, message, now_ms)
            self.nodes[target].events.publish(event)


def measure(size, updates_per_s, measured_s=MEASURED_S):
    """Return messages/s, bytes/s and core share of one node."""
    fleet = Fleet(size)
    fleet.run(WARM_UP_S, updates_per_s)
    fleet.messages = fleet.bytes = fleet.busy_s = 0
    gc.collect()
    fleet.run(measured_s, updates_per_s)
    divisor = size * measured_s
    return (
        fleet.messages / divisor,
        fleet.bytes / divisor,
        fleet.busy_s / divisor,
    )


def socket_s_per_message():
    """Return the CPU time of one send and one receive on loopback."""
    datagram = bytes(40)
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender,
    ):
        receiver.bind(('127.0.0.1', 0))
        receiver.settimeout(1)
        address = receiver.getsockname()
        started_s = time.process_time()
        for _ in range(ROUND_TRIPS):
            sender.sendto(datagram, address)
            receiver.recvfrom(1201)
        return (time.process_time() - started_s) / ROUND_TRIPS


def idle_s_per_s():
    """Return the CPU time of one node's ticks without messages."""
    fleet = Fleet(1)
    fleet.run(WARM_UP_S, 0)
    fleet.busy_s = 0
    fleet.run(MEASURED_S, 0)
    return fleet.busy_s / MEASURED_S


def vm_list_cost(nodes, workers):
    """Return the size of a VM list in bytes and two CPU times.

    The first is that of parsing and applying the list, the second that of
    applying the same list again.
    """
    fleet = Fleet(1)
    (node,) = fleet.nodes.values()
    rows = [
        {
            'id': f'{service}-{number:05}',
            'service': service,
            'availability_zone': f'south-{number % 7}',
            'host': f'10.1.{number % 250}.{number // 250}',
            'port': 8080,
            'state': 'live',
        }
        for service, count in (('figdoor', nodes), ('work-orders', workers))
        for number in range(count)
    ]
    text = json.dumps({'vms': rows}).encode()
    started_s = time.process_time()
    for _ in range(VM_LIST_READS):
        vm_list = read_vm_list(json.loads(text)['vms'])
        node.events.publish(VmListChanged(vm_list, 0))
    changed_s = time.process_time() - started_s
    started_s = time.process_time()
    for _ in range(VM_LIST_READS):
        node.events.publish(VmListChanged(vm_list, 0))
    unchanged_s = time.process_time() - started_s
    return len(text), changed_s / VM_LIST_READS, unchanged_s / VM_LIST_READS


def print_vm_list_cost():
    """Print the cost of reading the VM list, without peer messages."""
    print()
    print('| nodes | workers | bytes | changed list, ms | same list, ms |')
    print('|---|---|---|---|---|')
    for nodes, workers in ((20, 35), (640, 6700)):
        size, changed_s, unchanged_s = vm_list_cost(nodes, workers)
        print(
            f'| {nodes} | {workers} | {size} | {1000 * changed_s:.2f}'
            f' | {1000 * unchanged_s:.2f} |',
        )


def main():
    """Print the table of the section 'Control cost'."""
    updates_per_s = UPDATES_PER_DAY / SECONDS_PER_DAY
    socket_s = socket_s_per_message()
    idle_s = idle_s_per_s()
    rows = []
    for size in SIZES:
        runs = [measure(size, updates_per_s) for _ in range(3)]
        messages, sent_bytes = runs[0][:2]
        busy_s = median(run[2] for run in runs)
        rows.append((size, messages, sent_bytes, busy_s))
    print('| nodes | messages/s sent | bytes/s sent | core, without sockets |')
    print('|---|---|---|---|')
    for size, messages, sent_bytes, busy_s in rows:
        print(
            f'| {size} | {messages:.1f} | {sent_bytes:.0f}'
            f' | {100 * busy_s:.3f}% |',
        )
    print()
    messages, sent_bytes, busy_s = measure(
        TARGET_NODES, updates_per_s, MEASURED_TARGET_S
    )
    core = 100 * (busy_s + messages * socket_s)
    per_message_us = 1e6 * (busy_s - idle_s) / messages
    print(f'- ticks of a node without neighbours: {100 * idle_s:.3f}% core')
    print(f'- decisions and codec: {per_message_us:.1f} us per message')
    print(f'- sockets: {1e6 * socket_s:.1f} us per message sent and received')
    print(
        f'- at {TARGET_NODES} nodes: {messages:.0f} messages/s and '
        f'{sent_bytes:.0f} bytes/s sent, as much received, {core:.2f}% of a '
        f'core with sockets (target {TARGET_BYTES_PER_S} bytes/s and '
        f'{TARGET_CORE_PERCENT}%)',
    )
    print_vm_list_cost()


if __name__ == '__main__':
    main()

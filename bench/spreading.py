"""Propagation of VM list changes through a fleet on the virtual clock."""

import sys
from collections import Counter
from heapq import heappop, heappush
from pathlib import Path
from random import Random

sys.path.insert(0, str(Path(__file__).parents[1] / 'tests'))

from support import node_vm, upstream_vm

from figdoor_decisions.listing import VmListRead
from figdoor_gateway.peers import decode, encode
from figdoor_kernel import (
    Extension,
    FloodedUpdate,
    Node,
    NodeId,
    PeerMessageReceived,
    PeerSendRequested,
    Tick,
    VmList,
    VmState,
    load_plugins,
)
from figdoor_standins.clock import ManualClock

ZONES = 7
TICK_MS = 50
ONE_WAY_MS = 1.5
# Transfer of a full list of 1 MB at 1 Gbit/s and its reading take some 45 ms.
FULL_READ_MS = 45
IP_UDP_HEADER_BYTES = 28


class ListPropagation:
    """A fleet whose nodes read the VM list and exchange differences.

    ``reading`` has the names of the nodes with a read in progress. Only
    differences are measured; heartbeats are delivered unmeasured.
    """

    def __init__(self, size):
        self.clock = ManualClock()
        self.random = Random(size)
        self.full_reads = Counter()
        self.bytes = 0
        self.messages = 0
        self.reading = set()
        self.queue = []
        self.order = 0
        self.vms = [
            node_vm(f'entry-{number:03}', f'south-{number % ZONES}')
            for number in range(size)
        ]
        self.vms += [
            upstream_vm(f'worker-{number:05}') for number in range(600)
        ]
        self.version = 0
        registry = load_plugins('figdoor_decisions')
        self.nodes = {
            vm.vm_id: self.make(vm, number, registry)
            for number, vm in enumerate(self.vms[:size])
        }
        self.run(3000)
        self.full_reads.clear()
        self.bytes = self.messages = 0

    def make(self, vm, seed, registry):
        node = Node(
            NodeId(vm.vm_id),
            vm.availability_zone,
            self.clock,
            Random(seed),
            registry,
        )
        node.part(Extension.SERVICE, 'vm-lists')
        node.part(Extension.SERVICE, 'heartbeats')
        node.events.subscribe(
            PeerSendRequested,
            lambda event: self.send(node, event),
        )
        return node

    def send(self, node, event):
        message = event.message
        if isinstance(message, FloodedUpdate):
            datagram = encode(node.node_id, message)
            self.messages += 1
            self.bytes += len(datagram) + IP_UDP_HEADER_BYTES
            _, message = decode(datagram)
        receiver = self.nodes[event.target]
        self.schedule(
            ONE_WAY_MS,
            lambda: receiver.events.publish(
                PeerMessageReceived(node.node_id, message, self.clock.now_ms()),
            ),
        )

    def schedule(self, delay_ms, action):
        self.order += 1
        at_ms = self.clock.now_ms() + delay_ms
        heappush(self.queue, (at_ms, self.order, action))

    def run(self, total_ms):
        for _ in range(round(total_ms / TICK_MS)):
            now_ms = self.clock.now_ms() + TICK_MS
            while self.queue and self.queue[0][0] <= now_ms:
                at_ms, _, action = heappop(self.queue)
                self.clock.reactor.rightNow = at_ms / 1000
                action()
            self.clock.reactor.rightNow = now_ms / 1000
            for name, node in self.nodes.items():
                node.events.publish(Tick(now_ms))
                self.read(name, now_ms)

    def read(self, name, now_ms):
        if name in self.reading:
            return
        lists = self.nodes[name].part(Extension.SERVICE, 'vm-lists')
        planned = lists.next_read(now_ms)
        if planned is None:
            return
        self.reading.add(name)
        is_full = planned is VmListRead.WHOLE
        self.full_reads[name] += is_full
        version_id, vm_list = f'v{self.version}', VmList(tuple(self.vms))
        self.schedule(
            FULL_READ_MS if is_full else 2 * ONE_WAY_MS,
            lambda: self.complete_read(name, is_full, version_id, vm_list),
        )

    def complete_read(self, name, is_full, version_id, vm_list):
        self.reading.discard(name)
        lists = self.nodes[name].part(Extension.SERVICE, 'vm-lists')
        now_ms = self.clock.now_ms()
        if version_id == lists.version:
            lists.receive_unchanged(now_ms)
        elif is_full:
            lists.receive_list(version_id, vm_list, now_ms)
        else:
            lists.receive_version(version_id, now_ms)

    def change(self):
        """Change one worker; return the time until all nodes have the change."""
        self.version += 1
        changed = upstream_vm(
            f'worker-{self.version:05}', state=VmState.LEAVING
        )
        self.vms = [vm for vm in self.vms if vm.vm_id != changed.vm_id]
        self.vms.append(changed)
        started_ms = self.clock.now_ms()
        outdated = list(self.nodes.values())
        while outdated:
            self.run(TICK_MS)
            outdated = [
                node
                for node in outdated
                if node.fleet.find(changed.vm_id).vm_state is VmState.LIVE
            ]
        return self.clock.now_ms() - started_ms

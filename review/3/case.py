"""Rolling restart of the nodes while workers are replaced."""

import asyncio
import itertools
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stand.case import TROUBLE, run
from stand.http import send_request
from stand.nodes import configuration, make_nodes
from stand.store import Store
from stand.workers import HEARTBEAT_S, Worker

DRAIN_S = 2.0
STABILITY_S = 3.0
# A replaced worker serves for ``Drain`` and then some seconds more.
SERVES_ON_S = 14.0
PLAY_S = 90.0
ZONES = ('delta', 'piney', 'gulf')
NODES = 6
ROLL_GAP_S = 1.0
RELEASE_GAP_S = 0.87
# From the entry of the new worker to the removal of the old one's.
HAND_OVER_S = 0.1
SERVICES = {'work-orders': 9, 'parts-desk': 6}
PATHS = {'work-orders': '/history/', 'parts-desk': '/stock/'}
CALLER_GAP_S = 0.08


class Play:
    """The state of one run of the case."""

    def __init__(self, record):
        self.record = record
        self.store = Store()
        self.listed = {name: [] for name in SERVICES}
        self.removed = []
        self.sent = {}
        self.until_s = 0
        self._numbers = itertools.count(1)

    async def add_worker(self, service):
        number = next(self._numbers)
        worker = Worker(f'i-{number:04d}', service, ZONES[number % len(ZONES)])
        await worker.start()
        self.store.put(worker.key, worker.entry())
        self.listed[service].append(worker)
        return worker

    async def replace(self, service):
        """Add a worker, then remove the entry of the oldest one."""
        new = await self.add_worker(service)
        await asyncio.sleep(HAND_OVER_S)
        old = self.listed[service].pop(0)
        at_s = self.store.remove(old.key)
        self.removed.append((old, at_s))
        self.record.write(
            f'{old.worker_id} of {service} replaced by {new.worker_id}: its '
            f'entry is removed, revision {self.store.revision}',
            at_s,
        )
        asyncio.get_running_loop().call_later(DRAIN_S + SERVES_ON_S, old.stop)

    async def release(self, service, delay_s):
        await asyncio.sleep(delay_s)
        while time.monotonic() < self.until_s - DRAIN_S - SERVES_ON_S:
            await self.replace(service)
            await asyncio.sleep(RELEASE_GAP_S - HAND_OVER_S)

    async def heartbeats(self):
        """Count up the entries; nothing else changes, so none is written."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for workers in self.listed.values():
                for worker in workers:
                    worker.entry()

    async def call(self, node):
        """Send requests to one node, one after the other while it is ready."""
        for number in itertools.count(1):
            await asyncio.sleep(CALLER_GAP_S)
            service = 'work-orders' if number % 3 else 'parts-desk'
            if node.child is None or not node.takes_callers:
                continue
            request_id = f'{node.name}-{number}'
            headers = {
                'Host': 'shop.example',
                'Request-Id': request_id,
                'Deadline-Ms': '4000',
            }
            at_s = time.monotonic()
            self.sent[request_id] = at_s
            status, _, _ = await send_request(
                node.port, 'GET', f'{PATHS[service]}{number}', headers, wait_s=4
            )
            self.record.write(f'{request_id} sent, answered {status}', at_s)

    async def watch_ready(self, node):
        """Ask once a second whether the node is ready, as the platform does."""
        misses = 2
        while True:
            if node.child is not None and await node.is_ready():
                misses = 0
            else:
                misses += 1
            node.takes_callers = misses < 2
            await asyncio.sleep(1)

    async def roll(self, nodes):
        """Stop and start the nodes in turn."""
        for node in itertools.cycle(nodes):
            if time.monotonic() > self.until_s - 8:
                return
            self.record.write(f'{node.name}: SIGTERM')
            await node.stop()
            self.record.write(f'{node.name}: ended, starts again')
            node.start()
            await asyncio.sleep(ROLL_GAP_S)

    def late_runs(self, nodes):
        """Return runs at removed workers that break the rule."""
        by_name = {node.name: node for node in nodes}
        for worker, removed_s in self.removed:
            for at_s, request_id in worker.runs:
                self.record.write(f'{worker.worker_id} runs {request_id}', at_s)
                node = by_name[request_id.rpartition('-')[0]]
                if at_s > removed_s + DRAIN_S and node.was_calm(
                    at_s - STABILITY_S, at_s
                ):
                    yield worker, removed_s, at_s, request_id


async def play(record, nodes):
    """Return whether no removed worker got a request too late."""
    case = Play(record)
    ports = [await case.store.listen() for _ in range(NODES)]
    routes = [
        (f'r-{name}', path, 'idempotent', name, {})
        for name, path in PATHS.items()
    ]
    case.store.put('op/config', configuration(SERVICES, routes))
    for service, count in SERVICES.items():
        for _ in range(count):
            await case.add_worker(service)
    nodes.extend(make_nodes(NODES, ZONES, ports))
    for node in nodes:
        node.takes_callers = False
        node.start()
    for node in nodes:
        await node.wait_ready()
    await asyncio.sleep(STABILITY_S + 1)
    case.until_s = time.monotonic() + PLAY_S
    tasks = [
        case.heartbeats(),
        *(
            case.release(name, at * RELEASE_GAP_S / 2)
            for at, name in enumerate(SERVICES)
        ),
        *(case.call(node) for node in nodes),
        *(case.watch_ready(node) for node in nodes),
    ]
    if TROUBLE:
        tasks.append(case.roll(nodes))
    running = [asyncio.create_task(task) for task in tasks]
    await asyncio.sleep(PLAY_S)
    for task in running:
        task.cancel()
    late = sorted(case.late_runs(nodes), key=lambda row: row[2])
    for worker, removed_s, at_s, request_id in late:
        record.write(
            f'LATE {request_id} reaches {worker.worker_id} '
            f'{at_s - removed_s:.3f} s after the removal of its entry',
            at_s,
        )
    workers = len({row[0].worker_id for row in late})
    verdict = (
        f'{len(case.sent)} requests, {len(case.removed)} workers removed, '
        f'{len(late)} requests in touch reached {workers} of them later than '
        f'{DRAIN_S} s after the removal'
    )
    return not late, verdict


if __name__ == '__main__':
    run(__file__, play)

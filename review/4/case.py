"""Requests that arrive late in the graceful stop of a node."""

import asyncio
import itertools
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stand.case import TROUBLE, run
from stand.http import read_message, render
from stand.nodes import configuration, make_nodes
from stand.store import Store
from stand.workers import Worker

SEED = 23
PLAY_S = 80.0
ZONES = ('delta',)
NODES = 3
WORKERS = 16
SLOTS = 6
ROLL_GAP_S = 1.0
# Calm between two rolls, so that each begins with all nodes ready.
ROLL_EVERY_S = 16.0
GRACE_S = 6.0
# A request sent later than this after SIGTERM is excused by no work left.
EXCUSED_S = 3.0
WORK_S = (2.5, 4.0)
DEADLINE_S = 15.0
CONNECT_GAP_S = 0.05
# From the opening of a connection to its first request.
THINK_S = (0.5, 0.95)


class Rotation:
    """Where the platform sends new connections, as PROTOCOL.md tells it."""

    def __init__(self, nodes):
        self._nodes = nodes
        self._misses = dict.fromkeys(nodes, 0)

    async def ask(self, node):
        while True:
            if node.child is not None and await node.is_ready():
                self._misses[node] = 0
            else:
                self._misses[node] += 1
            await asyncio.sleep(1)

    def targets(self):
        """Return those in rotation, or all if they are fewer than half.

        While none is in rotation, the nodes of other zones are used. There
        are none here, so that nobody connects.
        """
        ready = [node for node in self._nodes if self._misses[node] < 2]
        if not ready or 2 * len(ready) >= len(self._nodes):
            return ready
        return self._nodes


async def call(record, node, number, rng, calls):
    """Open a connection, send one request on it, and read the answer."""
    request_id = f'{node.name}-{number}'
    try:
        async with asyncio.timeout(1):
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', node.port
            )
    except (OSError, TimeoutError):
        return
    await asyncio.sleep(rng.uniform(*THINK_S))
    headers = {
        'Host': 'shop.example',
        'Request-Id': request_id,
        'Deadline-Ms': str(int(DEADLINE_S * 1000)),
    }
    sent_s = time.monotonic()
    status = 0
    try:
        writer.write(render(f'GET /stock/{number} HTTP/1.1', headers))
        async with asyncio.timeout(DEADLINE_S):
            answer = await read_message(reader)
        if answer is not None:
            status = int(answer[0].split()[1])
    except (OSError, TimeoutError):
        pass
    finally:
        writer.close()
    ended_s = time.monotonic()
    calls.append((request_id, node, sent_s, ended_s, status))


async def roll(record, nodes, until_s, stops):
    """Stop and start all nodes in turn, again and again."""

    async def restart(node):
        stops.append((node, time.monotonic()))
        record.write(f'{node.name}: SIGTERM')
        await node.stop(GRACE_S)
        record.write(f'{node.name}: ended, starts again')
        node.start()

    while time.monotonic() < until_s - ROLL_EVERY_S:
        restarts = []
        for node in nodes:
            restarts.append(asyncio.create_task(restart(node)))
            await asyncio.sleep(ROLL_GAP_S)
        await asyncio.gather(*restarts)
        await asyncio.sleep(ROLL_EVERY_S - NODES * ROLL_GAP_S - GRACE_S)


async def play(record, nodes):
    """Return whether each request that reached a worker was answered."""
    rng = random.Random(SEED)
    store = Store()
    ports = [await store.listen() for _ in range(NODES)]
    workers = []
    for number in range(1, WORKERS + 1):
        worker = Worker(f'i-{number:04d}', 'parts-desk', 'delta', slots=SLOTS)
        await worker.start()
        store.put(worker.key, worker.entry())
        workers.append(worker)
    route = {'Timeout': '8000ms', 'TargetLatency': '6000ms', 'MaxAttempts': 2}
    routes = [('r-stock', '/stock/', 'idempotent', 'parts-desk', route)]
    store.put('op/config', configuration(['parts-desk'], routes))
    nodes.extend(make_nodes(NODES, ZONES, ports))
    for node in nodes:
        node.start()
    for node in nodes:
        await node.wait_ready()
    rotation = Rotation(nodes)
    asking = [asyncio.create_task(rotation.ask(node)) for node in nodes]
    await asyncio.sleep(4)
    until_s = time.monotonic() + PLAY_S
    stops = []
    if TROUBLE:
        asking.append(asyncio.create_task(roll(record, nodes, until_s, stops)))
    calls = []
    tasks = set()
    for number in itertools.count(1):
        if time.monotonic() > until_s:
            break
        for worker in workers:
            worker.work_s = rng.uniform(*WORK_S)
        await asyncio.sleep(CONNECT_GAP_S)
        targets = rotation.targets()
        if not targets:
            continue
        node = rng.choice(targets)
        task = asyncio.create_task(call(record, node, number, rng, calls))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    await asyncio.wait(tasks, timeout=12)
    for task in asking:
        task.cancel()
    return judge(record, workers, calls, stops)


def judge(record, workers, calls, stops):
    """Find requests that a worker ran and that got no answer in a stop."""
    runs = {}
    for worker in workers:
        for at_s, request_id in worker.runs:
            runs.setdefault(request_id, []).append((at_s, worker))
            record.write(f'{worker.worker_id} runs {request_id}', at_s)
    lost = 0
    for request_id, node, sent_s, ended_s, status in calls:
        record.write(f'{request_id} sent', sent_s)
        record.write(f'{request_id} ends: {status or "no answer"}', ended_s)
        if status or request_id not in runs:
            continue
        for stopped, term_s in stops:
            sent_after_s = sent_s - term_s
            if stopped is node and EXCUSED_S < sent_after_s < GRACE_S:
                lost += 1
                record.write(
                    f'LOST {request_id}, sent {sent_after_s:.3f} s after '
                    f'SIGTERM, passed on, ended without an answer '
                    f'{ended_s - term_s:.3f} s after SIGTERM',
                    ended_s,
                )
    verdict = (
        f'{len(calls)} requests, {len(stops)} stops; {lost} requests sent '
        f'later than {EXCUSED_S} s after SIGTERM reached a worker and were cut'
    )
    return not lost, verdict


if __name__ == '__main__':
    run(__file__, play)

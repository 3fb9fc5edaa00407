"""A restarted node hears from a frozen reader what the store has removed."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'stand2'))

from deployment import (
    DRAIN_S,
    HAS_TROUBLE,
    STABILITY_S,
    CannotRunError,
    configuration,
    request,
    route,
    run_case,
)

# 20 machines, of which at most 2 are disturbed at a time.
ZONES = ('za', 'zb', 'zc', 'zd') * 5
WORKERS_PER_ZONE = 2
TRIALS = 3
REQUESTS = 40
# A worker goes on serving for ``Drain`` and a while after its entry is gone.
SERVES_ON_S = 15.0
READER_WAIT_MS = '800'


def has_bound(port):
    """Return whether a UDP socket is bound to this port."""
    lines = Path('/proc/net/udp').read_text().splitlines()[1:]
    return any(line.split()[1].endswith(f':{port:04X}') for line in lines)


def socket_owner(nodes, client_port):
    """Return the node that connects from this port."""
    inodes = [
        line.split()[9]
        for line in Path('/proc/net/tcp').read_text().splitlines()[1:]
        if line.split()[1].endswith(f':{client_port:04X}')
    ]
    for node in nodes:
        folder = Path(f'/proc/{node.process.pid}/fd')
        links = [os.readlink(entry) for entry in folder.iterdir()]
        if any(f'socket:[{inode}]' in links for inode in inodes):
            return node
    return None


async def find_reader(deployment):
    """Return the node that waits for changes of the store."""
    for _ in range(50):
        port = deployment.store.last_watch_port
        node = socket_owner(deployment.nodes, port) if port else None
        if node is not None:
            return node
        await asyncio.sleep(0.1)
    raise CannotRunError('no node watches the store')


async def send(deployment, node, request_id):
    """Send one order, which may run once; return the status."""
    try:
        answer = await request(
            node.port, 'PUT', '/orders/1', 'any.example', request_id, body=b'{}'
        )
    except (OSError, asyncio.TimeoutError) as error:
        deployment.record(f'client: {request_id} at {node.name}: {error!r}')
        return 0
    deployment.record(
        f'client: {request_id} at {node.name}: {answer.status} '
        f'{answer.body.decode()!r}'
    )
    return answer.status


async def end_worker(deployment, leaving, node, number):
    """Let the worker exit while orders run; record how many are cut."""
    for worker in deployment.workers:
        worker.work_s = 0.6
    sending = [
        asyncio.create_task(send(deployment, node, f'e{number}-{index}'))
        for index in range(12)
    ]
    await asyncio.sleep(0.3)
    deployment.record(f'{leaving.name} exits')
    leaving.end()
    statuses = await asyncio.gather(*sending)
    cut = sum(status != 200 for status in statuses)
    deployment.record(f'{cut} of {len(statuses)} accepted orders were cut')


async def trial(deployment, number):
    """Return the requests that reached a worker later than allowed."""
    store, record = deployment.store, deployment.record
    reader = await find_reader(deployment)
    zone = reader.zone
    restarted = next(
        node for node in deployment.nodes[3:]
        if node.zone == zone and node is not reader
    )
    leaving = await deployment.add_worker(
        f'i-leaving{number}', 'orders', zone, work_s=0.02
    )
    record(f'trial {number}: reader {reader.name}, restarted {restarted.name}')
    await asyncio.sleep(2.5)
    if HAS_TROUBLE:
        record(f'{restarted.name} is killed and started again')
        await restarted.kill()
        await restarted.start()
        while not has_bound(restarted.control_port):
            await asyncio.sleep(0.001)
        record(f'{restarted.name} is frozen')
        restarted.send(signal.SIGSTOP)
    # At least one confirmation of the reader arrives meanwhile.
    await asyncio.sleep(1.0)
    await deployment.add_worker(f'i-new{number}', 'parts', zone)
    await asyncio.sleep(0.05)
    if HAS_TROUBLE:
        record(f'{reader.name} is frozen')
        reader.send(signal.SIGSTOP)
    acked_s = store.remove(f'servers/{leaving.name}')
    await asyncio.sleep(0.05)
    if HAS_TROUBLE:
        record(f'{restarted.name} wakes')
        restarted.send(signal.SIGCONT)
    await asyncio.sleep(0.5)
    if HAS_TROUBLE:
        record(f'{reader.name} wakes')
        reader.send(signal.SIGCONT)
    await asyncio.sleep(STABILITY_S + 0.5)
    for index in range(REQUESTS):
        await send(deployment, restarted, f't{number}-{index}')
    late = [
        run for run, at_s in leaving.runs
        if run.startswith(f't{number}-') and at_s > acked_s + DRAIN_S
    ]
    others = [node for node in deployment.nodes if node is not restarted]
    for index in range(3):
        for node in others:
            await send(deployment, node, f'o{number}-{index}-{node.name}')
    spread = {
        run.partition('-')[2].partition('-')[2]
        for run, _ in leaving.runs if run.startswith(f'o{number}-')
    }
    record(f'trial {number}: {len(spread)} other nodes send to it, too')
    record(
        f'trial {number}: {len(late)} of {REQUESTS} requests ran at '
        f'{leaving.name} more than {DRAIN_S} s after its entry was removed'
    )
    if time.monotonic() > acked_s + SERVES_ON_S:
        raise CannotRunError('the worker would have ended before the check')
    if late:
        await end_worker(deployment, leaving, restarted, number)
    return late


async def case(deployment):
    store = deployment.store
    routes = [
        route('r-orders', '/orders/', 'orders', 'non_idempotent'),
        *(route(f'r-{n}', f'/parts{n}/', 'parts') for n in range(11)),
    ]
    store.put('op/config', configuration(4, ('orders', 'parts'), routes))
    for zone in ZONES[:4]:
        for number in range(WORKERS_PER_ZONE):
            for name in ('orders', 'parts'):
                await deployment.add_worker(f'i-{name}-{zone}{number}', name, zone)
    await deployment.add_nodes(ZONES)
    # The nodes find each other in this time.
    await asyncio.sleep(4)
    late = []
    for number in range(TRIALS):
        late += await trial(deployment, number)
        if late:
            break
    return not late


run_case(HERE, case)

"""A node is frozen while a configuration and an evacuation are published."""

import asyncio
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'stand2'))

from deployment import (
    CONFIG_APPLY_S,
    HAS_TROUBLE,
    STABILITY_S,
    CannotRunError,
    configuration,
    request,
    route,
    run_case,
)

ZONES = ('za', 'zb', 'zc', 'zd')
SERVICES = ('orders', 'parts')
FREEZE_S = 3.5
# The nodes find each other in this time.
SETTLE_S = 5.0
REQUESTS = 20


def tables(version, parts_service):
    """Return a configuration with a route that moves between services."""
    others = [
        route(f'r-other{number}', f'/other{number}/', 'orders')
        for number in range(11)
    ]
    moved = route('r-moved', '/moved/', parts_service, 'non_idempotent')
    return configuration(version, SERVICES, [moved, *others])


async def send(deployment, node, request_id):
    answer = await request(
        node.port, 'PUT', '/moved/1', 'any.example', request_id, body=b'{}'
    )
    deployment.record(
        f'client: {request_id} at {node.name}: {answer.status} '
        f'{answer.body.decode()!r}'
    )
    return answer


async def case(deployment):
    store, record = deployment.store, deployment.record
    store.put('op/config', tables(4, 'parts'))
    for zone in ZONES:
        for name in SERVICES:
            await deployment.add_worker(f'i-{name}-{zone}', name, zone)
    await deployment.add_nodes(ZONES)
    for node in deployment.nodes:
        answer = await send(deployment, node, f'before-{node.name}')
        if answer.status != 200:
            raise CannotRunError('a request in calm was not served')
    await asyncio.sleep(SETTLE_S)
    # Not one of the seeds, which read the store for the others.
    frozen = deployment.nodes[3]
    if HAS_TROUBLE:
        record(f'{frozen.name} is frozen')
        frozen.send(signal.SIGSTOP)
    await asyncio.sleep(0.6)
    acked_s = store.put('op/config', tables(8, 'orders'))
    await asyncio.sleep(0.8)
    store.put('op/evacuate/za', {})
    await asyncio.sleep(FREEZE_S - 1.4)
    if HAS_TROUBLE:
        record(f'{frozen.name} wakes')
        frozen.send(signal.SIGCONT)
    await asyncio.sleep(STABILITY_S + 1)
    if time.monotonic() < acked_s + CONFIG_APPLY_S:
        raise CannotRunError('the check began too early')
    for number in range(REQUESTS):
        for node in deployment.nodes:
            await send(deployment, node, f'after-{number}-{node.name}')
    late = [
        f'{run} at {worker.name}'
        for worker in deployment.workers if worker.service == 'parts'
        for run, _ in worker.runs if run.startswith('after-')
    ]
    record(
        f'{len(late)} requests sent more than {CONFIG_APPLY_S} s after the ack '
        'of version 8 were run by the service of version 4'
    )
    return not late


run_case(HERE, case)

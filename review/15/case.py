"""A request that crashes workers comes again during a rolling restart."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'stand3'))

from poison import WORKER_AWAY_S, PoisonWorld  # noqa: E402
from world import (  # noqa: E402
    STABILITY_S,
    CannotRun,
    configuration,
    main,
    now_s,
    route,
)

PATH = '/orders/poison'
# The platform starts a process again after a short delay.
RESTART_DELAY_S = 0.5


async def case(world, trouble):
    await world.open(['delta', 'piney', 'delta', 'piney'])
    for index in range(8):
        worker = await world.add_worker(
            f'w-{index}', 'orders', ('delta', 'piney')[index % 2], work_s=0.2)
        worker.poison = lambda request: request.target == PATH
    world.store.put('op/config', configuration(
        1, ['orders'], [route('r-orders', '/orders/', 'non_idempotent',
                              'orders')]))
    await world.start_nodes()
    answers = []
    world.in_background(world.load(
        20, 'POST', '/orders/', answers, body=b'order'))
    await asyncio.sleep(4)

    async def send(node):
        await world.send_poison(node, 'POST', PATH, body=b'poison')

    # The first three crashes, one second apart.
    turn = 0
    until_s = now_s() + 15
    while len(world.crashes) < 3 and now_s() < until_s:
        await send(world.nodes[turn % len(world.nodes)])
        turn += 1
        await asyncio.sleep(1)
    if len(world.crashes) < 3:
        raise CannotRun('the request did not crash three workers')
    third_s = world.crashes[2][0]
    await asyncio.sleep(third_s + STABILITY_S + 0.5 - now_s())
    # All machines refuse it now.
    for node in world.nodes:
        await send(node)
        await asyncio.sleep(0.5)
    # A rolling restart: each machine is back and in touch for a while before
    # the next one is stopped.
    for node in world.nodes:
        if trouble:
            await node.stop()
            await asyncio.sleep(RESTART_DELAY_S)
            await node.start()
            await node.wait_ready()
        await asyncio.sleep(STABILITY_S + 0.5)
        await send(node)
        await asyncio.sleep(0.5)
    await asyncio.sleep(WORKER_AWAY_S)
    for node in world.nodes:
        await send(node)
        await asyncio.sleep(1)
    return world.judge(answers)


if __name__ == '__main__':
    main(case, FOLDER, PoisonWorld)

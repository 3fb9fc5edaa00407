"""The store comes back from a copy that is some seconds old."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'stand3'))

from world import (  # noqa: E402
    CONFIG_APPLY_S,
    DRAIN_S,
    STABILITY_S,
    configuration,
    main,
    now_s,
    route,
)

# How old the copy is, and for how long the store is away.
COPY_AGE_S = 8.0
AWAY_S = 1.0
# A worker serves on for ``Drain`` and a little longer after its removal.
SERVES_ON_S = 12.0
# The rule counts requests that a machine handles by an old configuration.
# One is enough; a few more exclude an accident.
MANY = 5


def tables(version, service):
    return configuration(version, ['orders', 'orders-new'], [
        route('r-orders', '/orders/', 'non_idempotent', service),
        route('r-other', '/other/', 'idempotent', 'orders'),
    ])


async def case(world, trouble):
    await world.open(['delta', 'piney', 'delta'])
    store = world.store
    store.with_era = True
    for index in range(6):
        zone = ('delta', 'piney')[index % 2]
        await world.add_worker(f'o-{index}', 'orders', zone)
        await world.add_worker(f'n-{index}', 'orders-new', zone)
    store.put('op/config', tables(1, 'orders'))
    await world.start_nodes()
    orders, others = [], []
    world.in_background(world.load(
        20, 'POST', '/orders/', orders, body=b'order'))
    world.in_background(world.load(20, 'GET', '/other/', others))
    await asyncio.sleep(6)
    copy = store.copy()
    await asyncio.sleep(COPY_AGE_S)
    if trouble:
        world.record.write('store-away', revision=store.revision)
        store.go_away()
        await asyncio.sleep(AWAY_S)
        store.come_back_from(copy)
        world.record.write('store-back', revision=store.revision,
                           era=store.era)
        # The workers write their entries again.
        for worker in world.workers:
            worker.beat_now()
    # Once the store is stable again, the operator moves a route, and a worker
    # of the other one leaves.
    await asyncio.sleep(STABILITY_S + 0.2)
    revision = store.put('op/config', tables(2, 'orders-new'))
    world.record.write('ack', key='op/config', version=2, revision=revision)
    config_s = now_s()
    leaver = world.workers[0]
    leaver.is_listed = False
    revision = store.remove(f'servers/{leaver.worker_id}')
    world.record.write('ack', removed=leaver.worker_id, revision=revision)
    removed_s = now_s()
    await asyncio.sleep(SERVES_ON_S)
    # All machines run undisturbed, so all are in touch.
    old = [answer for answer in orders
           if answer.sent_s > config_s + CONFIG_APPLY_S
           and b' orders ' in answer.body]
    new = [answer for answer in orders if b' orders-new ' in answer.body]
    late = [answer for answer in others
            if answer.sent_s > removed_s + DRAIN_S
            and answer.body.startswith(leaver.worker_id.encode())]
    world.record.write('summary', orders=len(orders), by_old=len(old),
                       by_new=len(new), at_removed_worker=len(late))
    broken = []
    if len(old) >= MANY:
        broken.append(f'CONFIG: {len(old)} requests ran at the old service '
                      f'after ConfigApply, {len(new)} at the new one')
    if len(late) >= MANY:
        broken.append(f'DRAIN: {len(late)} requests reached a removed worker '
                      f'after Drain')
    return broken


if __name__ == '__main__':
    main(case, FOLDER)

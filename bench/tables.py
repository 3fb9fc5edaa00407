"""Time and memory of the tables by their size.

Prints, for several numbers of services, the time to read both tables in full
and after a change of one row, and the memory that accepted tables use.
"""

import gc
import statistics
import time
import tracemalloc

from sizes import pick

from figdoor_kernel import Revision
from figdoor_tables import TablesReader, read_tables

SIZES = pick((10, 100, 550, 1100), quick=(10,))
REPEATS = pick(7, quick=2)
ROUTES_PER_SERVICE = 2


def make_texts(services):
    """Return both tables with this many services in seven zones."""
    zones = ' '.join(f'zone-{number}' for number in range(7))
    routes = [
        'route,authority,path_prefix,operations,pool,idempotent,tenant,'
        'deadline_ms,retry_percent',
    ]
    pools = [
        'pool,service,availability_zones,slots,connections,cold_limit,'
        'probes_per_s',
    ]
    for number in range(services):
        name = f'service-{number}'
        routes.append(
            f'{name}-read,{name}.example,/,GET HEAD,{name},GET HEAD,'
            f'header:x-tenant,2000,20',
        )
        routes.append(
            f'{name}-write,{name}.example,/,POST PUT,{name},,'
            f'header:x-tenant,5000,10',
        )
        pools.append(f'{name},{name},{zones},6,250,1,2')
    return '\n'.join(routes), '\n'.join(pools)


def time_reads(services):
    """Return the times of full reads and of reads with one changed row."""
    full_ms = []
    change_ms = []
    routes, pools = make_texts(services)
    for repeat in range(REPEATS):
        reader = TablesReader()
        full_ms.append(time_read(reader, routes, pools))
        changed = routes.replace(',2000,20', f',{repeat + 1000},20', 1)
        change_ms.append(time_read(reader, changed, pools))
    return full_ms, change_ms


def time_read(reader, routes, pools):
    """Return the time of one read."""
    started_s = time.perf_counter()
    reader.read(Revision(1), routes, pools).unwrap()
    return (time.perf_counter() - started_s) * 1000


def measure_used_kb(services):
    """Return the memory that the accepted tables use."""
    routes, pools = make_texts(services)
    gc.collect()
    tracemalloc.start()
    tables = read_tables(Revision(1), routes, pools).unwrap()
    gc.collect()
    used_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del tables
    return used_bytes / 1000


def render(times_ms):
    """Return median and spread."""
    low, high = min(times_ms), max(times_ms)
    return f'{statistics.median(times_ms):.1f} ({low:.1f}..{high:.1f})'


def main():
    """Print the table."""
    print('services | full read ms | one changed row ms | memory KB')
    for services in SIZES:
        full_ms, change_ms = time_reads(services)
        used_kb = measure_used_kb(services)
        print(
            f'{services} | {render(full_ms)} | {render(change_ms)} | '
            f'{used_kb:.0f}',
        )


if __name__ == '__main__':
    main()

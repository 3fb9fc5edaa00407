"""Starts the fleet of the demo, injects failures and collects the records."""

import json
import subprocess
import sys
import time
from pathlib import Path

from figdoor_standins.clock import clock_ms
from figdoor_standins.demo.run import DemoRun, Start
from figdoor_standins.deployment import Deployment
from figdoor_standins.ports import HOST

TABLES = Path(__file__).parents[4] / 'examples' / 'fountain-dispatch'
ZONES = ('south-1', 'south-2')
ZONE_OUT = ZONES[1]
SERVICES = {'work-orders': 'wo', 'parts-desk': 'pd'}
SERVICE_MS = 5
PROBES_PER_S = 2
LOAD_S = 15
# A gateway that retried these orders would run them twice. By this time the
# load has its full rate and both availability zones are in service.
ORDERS_RESET_AT_S = 3
ZONE_OUT_AT_S = 4
ZONE_BACK_AT_S = 8.5
# The service is slowed down before a kill, so that requests are in progress
# when it comes. At the usual service time there are mostly none.
SLOW_SERVICE_MS = 400
SLOW_S = 0.3
UPSTREAM_KILLED_AT_S = 10.5
GATEWAY_KILLED_AT_S = 12
VM_LIST_LAG_S = 1
CALLERS_TIMEOUT_S = 25


def run_demo(folder):
    """Return the records of one run."""
    run = DemoRun(zone_out=ZONE_OUT, probes_per_s=PROBES_PER_S)
    routes = (TABLES / 'routes.csv').read_text(encoding='utf-8')
    pools = (TABLES / 'pools.csv').read_text(encoding='utf-8')
    with Deployment(folder) as deployment:
        deployment.platform.publish(routes, pools)
        _start(deployment, folder)
        listed_ms = clock_ms()
        callers = _start_callers(deployment, folder)
        try:
            _inject_failures(deployment, run, routes, pools)
            run.load_exit_code = callers.wait(CALLERS_TIMEOUT_S)
        finally:
            callers.kill()
            callers.wait()
        run.exit_codes = [gateway.stop() for gateway in deployment.gateways[:1]]
        listed_s = (clock_ms() - listed_ms) / 1000
        for upstream in deployment.upstreams:
            run.listed_s[upstream.vm_id] = listed_s
            _read_journal(run, upstream, folder)
        run.listed_s.pop('direct')
    with open(folder / 'records.jsonl', encoding='utf-8') as lines:
        run.records = [json.loads(line) for line in lines]
    return run


def _start(deployment, folder):
    for service, short in SERVICES.items():
        for number in range(4):
            _add(deployment, folder, f'{short}-{number}', service, number)
    # The direct upstream is in no pool, so figdoor never sends to it.
    _add(deployment, folder, 'direct', 'direct', 0)
    for number, zone in enumerate(ZONES):
        deployment.add_gateway(f'entry-{number}', zone)
    deployment.wait_ready()
    deployment.wait_answering(
        '/work-orders/first',
        {'Host': 'dispatch.example'},
    )
    deployment.wait_answering('/parts/first', {'Host': 'parts.example'})


def _add(deployment, folder, vm_id, service, number):
    deployment.add_upstream(
        vm_id,
        service,
        ZONES[number % len(ZONES)],
        service_ms=SERVICE_MS,
        journal=folder / f'{vm_id}.journal',
    )


def _start_callers(deployment, folder):
    direct = deployment.upstreams[-1]
    tenants = ['county-north', 'county-south', 'parks']
    orders = {'idempotent': False, 'method': 'POST'}
    reads = {'idempotent': True, 'method': 'GET'}
    at_work = {
        'path': '/work-orders',
        'host': 'dispatch.example',
        'tenants': tenants,
    }
    at_parts = {
        'path': '/parts',
        'host': 'parts.example',
        'tenants': ['county-buyers'],
    }
    plan = {
        'seed': 1,
        'duration_s': LOAD_S,
        'ramp_s': 3,
        'rate_per_s': 150,
        'max_requests': 3000,
        'stale_share': 0.2,
        'gateways': [
            (HOST, gateway.port, gateway.operator_port)
            for gateway in deployment.gateways
        ],
        'kinds': [
            {'route': 'lookup', 'weight': 4, **reads, **at_work},
            {'route': 'close-out', 'weight': 4, **orders, **at_work},
            {'route': 'stock', 'weight': 3, **reads, **at_parts},
            {'route': 'order', 'weight': 3, **orders, **at_parts},
            {
                'route': 'direct',
                'weight': 2,
                'direct': (HOST, direct.port),
                **reads,
                **at_work,
            },
        ],
    }
    plan_path = folder / 'plan.json'
    plan_path.write_text(json.dumps(plan), encoding='utf-8')
    return subprocess.Popen(
        [
            sys.executable,
            '-m',
            'figdoor_standins.callers',
            f'--plan={plan_path}',
            f'--records={folder / "records.jsonl"}',
        ],
    )


def _inject_failures(deployment, run, routes, pools):
    started_s = time.monotonic()

    def announce(at_s, what):
        """Wait until ``at_s`` of the run, then print what happens."""
        time.sleep(max(0, started_s + at_s - time.monotonic()))
        sys.stdout.write(f'{at_s:5.1f} s  {what}\n')
        sys.stdout.flush()

    announce(0, f'load starts; revision 1 in force in {", ".join(ZONES)}')
    announce(
        ORDERS_RESET_AT_S, 'each upstream runs one order and then resets it'
    )
    for upstream in deployment.upstreams[:-1]:
        upstream.control(reset_posts=1)
    announce(ZONE_OUT_AT_S, f'{ZONE_OUT} is removed from the tables')
    deployment.platform.publish(routes, _without_zone(pools))
    run.zone_out_ms = clock_ms()
    announce(ZONE_BACK_AT_S, f'{ZONE_OUT} is restored in the tables')
    run.zone_back_ms = clock_ms()
    deployment.platform.publish(routes, pools)
    upstream = deployment.upstreams[0]
    gateway = deployment.gateways[-1]
    for at_s, service, process in (
        (UPSTREAM_KILLED_AT_S, 'work-orders', upstream),
        (GATEWAY_KILLED_AT_S, 'parts-desk', gateway),
    ):
        announce(at_s - SLOW_S, f'{service} is slowed down')
        slow_from_ms = clock_ms()
        _set_service_ms(deployment, service, SLOW_SERVICE_MS)
        announce(at_s, f'{process.vm_id} is killed')
        process.kill()
        _set_service_ms(deployment, service, SERVICE_MS)
        slow_to_ms = clock_ms() + SLOW_SERVICE_MS
        run.slow_intervals_ms.append((slow_from_ms, slow_to_ms))
    announce(
        GATEWAY_KILLED_AT_S + VM_LIST_LAG_S, 'both are removed from the VM list'
    )
    deployment.platform.list_vms(
        [
            member
            for member in (*deployment.upstreams, *deployment.gateways)
            if member not in (upstream, gateway)
        ],
    )
    announce(LOAD_S, 'load ends')


def _set_service_ms(deployment, service, service_ms):
    for upstream in deployment.upstreams:
        if upstream.service == service and upstream.child.poll() is None:
            upstream.control(service_ms=service_ms)


def _without_zone(pools):
    """Return the pools table without the zone in the row ``*``."""
    lines = pools.splitlines()
    return '\n'.join(
        line.replace(f'{ZONE_OUT} ', '') if line.startswith('*') else line
        for line in lines
    )


def _read_journal(run, upstream, folder):
    kinds = {'run': run.runs, 'probe': run.probes, 'reset': run.resets}
    path = folder / f'{upstream.vm_id}.journal'
    for line in path.read_text(encoding='utf-8').splitlines():
        entry = json.loads(line)
        start = Start(
            upstream.vm_id,
            upstream.zone,
            entry['id'],
            entry['at_ms'],
        )
        if upstream.vm_id != 'direct':
            kinds[entry['kind']].append(start)

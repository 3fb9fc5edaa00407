"""Content of the stand-in store: one service with one worker.

The process tests and benches of store deployments put it into the store.
"""

import json

from figdoor_standins.processes import http

SERVICE = {
    'Name': 'work',
    'HealthPath': '/healthz',
    'MaxConnections': 240,
    'Warmup': '3s',
    'WarmupPerS': 6.0,
}
PATH = {
    'Name': 'r',
    'Prefix': '/work/',
    'Type': 'idempotent',
    'Timeout': '2s',
    'TargetLatency': '500ms',
    'Priority': 0,
    'Service': 'work',
    'MaxAttempts': 3,
}
CONFIGURATION = {
    'Version': 1,
    'Services': [SERVICE],
    'Limits': {
        'MaxHeaderBytes': 16384,
        'MaxBodyBytes': 100_000,
        'HeaderTimeout': '3s',
        'IdleTimeout': '15s',
    },
    'Hosts': [{'Host': 'any.example', 'Paths': [PATH]}],
}
REQUEST_HEADERS = {
    'Host': 'any.example',
    'Deadline-Ms': '1500',
    'Request-Id': 'r1',
}


def worker_entry(worker_port, **changes):
    """Return the entry of a worker that is ready."""
    return {
        'Service': 'work',
        'Address': f'127.0.0.1:{worker_port}',
        'Zone': 'z1',
        'Version': 'v1',
        'Capacity': 6,
        'State': 'ready',
        'WarmupLeft': '0ms',
        'Sequence': 1,
        'born': 1,
        **changes,
    }


def fill_store(store_port, worker_port):
    """Put the configuration and the worker into a store."""
    entry = worker_entry(worker_port)
    for key, value in (('op/config', CONFIGURATION), ('servers/w', entry)):
        body = json.dumps(value).encode()
        http(store_port, f'/_put?key={key}', 'POST', body)

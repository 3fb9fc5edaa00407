"""Starts figdoor nodes with the commands of the deploy file."""

import asyncio
import os
import re
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

from stand.http import send_request

ROOT = Path(__file__).resolve().parents[2]
ROLE = tomllib.loads((ROOT / 'deploy/system.toml').read_text())['roles'][
    'gateway'
]


def free_ports(count):
    """Return ports that are free for TCP and UDP."""
    ports = []
    while len(ports) < count:
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as u:
            tcp.bind(('127.0.0.1', 0))
            port = tcp.getsockname()[1]
            try:
                u.bind(('127.0.0.1', port))
            except OSError:
                continue
            if port not in ports:
                ports.append(port)
    return ports


class GatewayNode:
    """One node as a process of its own.

    ``disturbed_s`` holds the times of what was done to its process.
    """

    def __init__(self, name, zone, store_port, ports, seeds, folder):
        self.name = name
        self.zone = zone
        self.port, self.ready_port, self.peer_port = ports
        self.disturbed_s = []
        self.child = None
        self._folder = folder
        fields = {
            'NodeName': name,
            'Zone': zone,
            'Listen.Frontend': f'127.0.0.1:{self.port}',
            'Listen.Ready': f'127.0.0.1:{self.ready_port}',
            'Listen.ControlPlane': f'127.0.0.1:{self.peer_port}',
            'SeedNodes': ','.join(f'127.0.0.1:{port}' for port in seeds),
            'Platform.Address': f'127.0.0.1:{store_port}',
            'Bounds.RetryBurst': '60',
            'Bounds.ProbesPerS': '60',
        }
        template = (ROOT / ROLE['template']).read_text()
        settings = re.sub(
            '{{([^}]+)}}', lambda match: fields[match[1]], template
        )
        self._path = folder / f'{name}.conf'
        self._path.write_text(settings)

    def start(self):
        """Start the process."""
        command = [
            word.replace('/etc/figdoor/local.conf', str(self._path))
            for word in ROLE['run'].split()
        ]
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': str(self._folder),
            'FIGDOOR_BOOT': str(self._path),
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
        }
        with open(self._folder / f'{self.name}.log', 'ab') as log:
            self.child = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.disturbed_s.append(time.monotonic())

    def signal(self, number):
        """Send a signal to the process."""
        self.disturbed_s.append(time.monotonic())
        if self.child.poll() is None:
            self.child.send_signal(number)

    async def stop(self, grace_s=6):
        """SIGTERM, and SIGKILL after the grace period."""
        self.signal(signal.SIGTERM)
        until_s = time.monotonic() + grace_s
        while self.child.poll() is None and time.monotonic() < until_s:
            await asyncio.sleep(0.02)
        self.kill()
        self.disturbed_s.append(time.monotonic())

    def kill(self):
        """End the process at once, also a stopped one."""
        if self.child is not None and self.child.poll() is None:
            self.disturbed_s.append(time.monotonic())
            self.child.send_signal(signal.SIGKILL)
            self.child.wait()

    async def is_ready(self):
        """Return whether it says that it is ready."""
        status, _, _ = await send_request(
            self.ready_port, 'GET', '/readyz', {'Host': 'platform'}, wait_s=1
        )
        return status == 200

    async def wait_ready(self, limit_s=15):
        """Wait until it is ready; raises ``TimeoutError``."""
        until_s = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > until_s:
                raise TimeoutError(f'{self.name} is not ready')
            await asyncio.sleep(0.05)

    def was_calm(self, from_s, until_s):
        """Return whether nothing was done to its process in this time."""
        return not any(from_s <= at_s <= until_s for at_s in self.disturbed_s)


def make_nodes(count, zones, store_ports, seeds=3):
    """Return nodes on free ports of loopback, the first ones as seeds."""
    folder = Path(tempfile.mkdtemp(prefix='figdoor-review-'))
    ports = free_ports(3 * count)
    triples = [ports[3 * at : 3 * at + 3] for at in range(count)]
    seed_ports = [triple[2] for triple in triples[:seeds]]
    return [
        GatewayNode(
            f'edge-{at + 1}',
            zones[at % len(zones)],
            store_ports[at % len(store_ports)],
            triples[at],
            seed_ports,
            folder,
        )
        for at in range(count)
    ]


def configuration(services, routes, version=1):
    """Return ``op/config``; a route is (name, prefix, type, service, more)."""
    return {
        'Version': version,
        'Services': [
            {
                'Name': name,
                'HealthPath': '/healthz',
                'MaxConnections': 240,
                'Protocol': 'h1',
                'TlsEnabled': False,
                'Warmup': '3s',
                'WarmupPerS': 6.3,
            }
            for name in services
        ],
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 67108864,
            'HeaderTimeout': '3000ms',
            'IdleTimeout': '15000ms',
        },
        'Hosts': [
            {
                'Host': 'shop.example',
                'Paths': [
                    {
                        'Name': name,
                        'Prefix': prefix,
                        'Type': kind,
                        'Timeout': '2000ms',
                        'TargetLatency': '600ms',
                        'Priority': 1,
                        'Service': service,
                        'MaxAttempts': 2,
                        **more,
                    }
                    for name, prefix, kind, service, more in routes
                ],
            }
        ],
    }

"""Resident memory of a gateway process by its number of connections.

Prints the resident set size of a gateway after its start and with increasing
numbers of idle caller connections.
"""

import socket
import tempfile
import time
from pathlib import Path

from sizes import pick

from figdoor_standins.deployment import Deployment
from figdoor_standins.ports import HOST

TABLES = Path(__file__).parents[1] / 'examples' / 'fountain-dispatch'
STEPS = pick((0, 500, 1000, 2000), quick=(0, 10))
REQUEST = b'GET /work-orders/1 HTTP/1.1\r\nHost: dispatch.example\r\n\r\n'


def resident_kb(pid):
    """Return the resident set size of a process."""
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1])
    raise ValueError('/proc/PID/status has no VmRSS line')


def main():
    """Print the table."""
    with tempfile.TemporaryDirectory() as folder:
        with Deployment(folder) as deployment:
            deployment.platform.publish(
                (TABLES / 'routes.csv').read_text(encoding='utf-8'),
                (TABLES / 'pools.csv').read_text(encoding='utf-8'),
            )
            for number in range(4):
                deployment.add_upstream(
                    f'wo-{number}',
                    'work-orders',
                    'south-1',
                )
            gateway = deployment.add_gateway('entry-0', 'south-1')
            deployment.wait_ready()
            deployment.wait_answering(
                '/work-orders/1',
                {'Host': 'dispatch.example'},
            )
            callers = []
            print('connections | resident MB')
            for count in STEPS:
                while len(callers) < count:
                    caller = socket.create_connection((HOST, gateway.port))
                    caller.sendall(REQUEST)
                    caller.recv(4096)
                    callers.append(caller)
                time.sleep(0.5)
                resident_mb = resident_kb(gateway.child.pid) / 1000
                print(f'{count} | {resident_mb:.1f}')
            for caller in callers:
                caller.close()


if __name__ == '__main__':
    main()

"""Calls that a stand-in upstream makes before it responds.

A request with ``x-levels: 3`` makes the upstream send the same request with
``x-levels: 2`` to one of its ``call_ports``, and so on. The request id gets the
level as a suffix, so that executions can be counted per level.
"""

from itertools import cycle

from figdoor_standins.clock import clock_ms
from figdoor_standins.load_client import LoadClient, render_request
from figdoor_standins.ports import HOST

DEADLINE_HEADER = b'figdoor-deadline-ms'


class InnerCalls:
    """Sends inner calls to the configured ports."""

    def __init__(self):
        self.client = LoadClient()
        self.ports = cycle(())
        self.port_list = ''

    def set_ports(self, ports):
        """Call these ports round-robin; ``ports`` is a list like ``8080,8081``."""
        if ports != self.port_list:
            self.port_list = ports
            self.ports = cycle([int(port) for port in ports.split(',')])

    async def call(self, connection):
        """Send the request one level deeper; return the reply."""
        level = connection.levels - 1
        outer_id = connection.request_id.partition('.')[0]
        headers = {
            'host': 'any.example',
            'x-levels': str(level),
            'x-request-id': f'{outer_id}.{level}',
        }
        deadline = connection.headers.get(DEADLINE_HEADER)
        if deadline is not None:
            spent_ms = clock_ms() - connection.received_ms
            left_ms = max(0, int(int(deadline) - spent_ms))
            headers[DEADLINE_HEADER.decode()] = str(left_ms)
        request = render_request(
            connection.method.decode(),
            connection.url.decode('latin-1'),
            headers,
        )
        return await self.client.request((HOST, next(self.ports)), request)

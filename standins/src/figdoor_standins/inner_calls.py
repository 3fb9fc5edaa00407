"""Calls that a stand-in upstream makes before it answers.

A request with ``x-levels: 3`` makes the upstream send the same request with
``x-levels: 2`` to one of its ``call_ports``, and so on. The request id gets the
level as a suffix, so that runs can be counted for each level.
"""

from itertools import cycle

from figdoor_standins.clock import clock_ms
from figdoor_standins.load_client import LoadClient, render_request
from figdoor_standins.ports import HOST

DEADLINE = b'figdoor-deadline-ms'


class InnerCalls:
    """Passes requests on and answers with what came back."""

    def __init__(self):
        self.client = LoadClient()
        self.ports = cycle(())
        self.listed = ''

    def use(self, ports):
        """Call these ports, a text like ``8080,8081``, in turn."""
        if ports != self.listed:
            self.listed = ports
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
        deadline = connection.headers.get(DEADLINE)
        if deadline is not None:
            spent_ms = clock_ms() - connection.received_ms
            left_ms = max(0, int(int(deadline) - spent_ms))
            headers[DEADLINE.decode()] = str(left_ms)
        request = render_request(
            connection.method.decode(),
            connection.url.decode('latin-1'),
            headers,
        )
        return await self.client.request((HOST, next(self.ports)), request)

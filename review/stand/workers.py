"""A sound worker: runs requests in its slots, and records what it ran."""

import asyncio
import time

from stand.http import read_message, render

HEARTBEAT_S = 1.5


class Worker:
    """One worker with its entry in the store.

    ``runs`` holds the time at which each run began and the request id, in
    order of arrival. Status checks and requests for another worker are not in
    it.
    """

    def __init__(self, worker_id, service, zone, work_s=0.02, slots=6):
        self.worker_id = worker_id
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.slots = slots
        self.runs = []
        self.requests = []
        self.state = 'ready'
        self.born = int(time.time() * 1000)
        self.warm_s = 0
        self.port = 0
        self.running = 0
        self._sequence = 0
        self._server = None
        self._writers = set()

    async def start(self, port=0):
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self):
        """End: close the listener and all connections."""
        self._server.close()
        for writer in tuple(self._writers):
            writer.close()

    @property
    def key(self):
        """The key of its entry."""
        return f'servers/{self.worker_id}'

    def entry(self):
        """Return its entry as of now."""
        self._sequence += 1
        left_ms = max(0, int((self.warm_s - time.monotonic()) * 1000))
        return {
            'Service': self.service,
            'Address': f'127.0.0.1:{self.port}',
            'Zone': self.zone,
            'Version': 'v1',
            'Capacity': self.slots,
            'State': self.state,
            'WarmupLeft': f'{left_ms}ms',
            'Sequence': self._sequence,
            'born': self.born,
        }

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                writer.write(await self._answer(*message))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _common(self, headers):
        common = {
            'Instance-Id': self.worker_id,
            'Instance-Load': f'{self.running},0,{self.slots},100',
        }
        if 'request-id' in headers:
            common['Request-Id'] = headers['request-id']
        return common

    async def _answer(self, start, headers, body):
        method, target, _ = start.split(' ')
        if target == '/healthz':
            left_ms = max(0, int((self.warm_s - time.monotonic()) * 1000))
            extra = {'Warmup-Ms': left_ms} if left_ms else {}
            status = '200 OK' if self.state == 'ready' else '503 Draining'
            return render(f'HTTP/1.1 {status}', self._common(headers) | extra)
        expected = headers.get('expected-instance', self.worker_id)
        if expected != self.worker_id:
            return render('HTTP/1.1 421 Misdirected', self._common(headers))
        if 'request-id' not in headers or self.running >= self.slots:
            status = '503 Full' if 'request-id' in headers else '400 No Id'
            refusal = self._common(headers) | {'Not-Executed': '1'}
            return render(f'HTTP/1.1 {status}', refusal)
        self.runs.append((time.monotonic(), headers['request-id']))
        self.requests.append((headers['request-id'], method, target, body))
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        signed = self._common(headers) | {
            'Server-Signature': f'{self.worker_id}.1'
        }
        return render('HTTP/1.1 200 OK', signed, f'{self.worker_id}\n'.encode())

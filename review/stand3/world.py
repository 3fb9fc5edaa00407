"""Stand-ins for the platform's store, workers and consumers, and node control.

Everything listens on 127.0.0.1. Nodes are real processes, started with the
command of ``deploy/system.toml`` and settings made from its template; the
stand-ins run in the process of the script. Only the standard library is used.
"""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from contextlib import suppress
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = '127.0.0.1'
# Bounds of the platform's pages for a small deployment.
STABILITY_S = 3.0
DRAIN_S = 2.0
CONFIG_APPLY_S = 2.0
GRACE_S = 6.0
HEARTBEAT_S = 1.5
HISTORY_S = 20.0
# Payload of an Ethernet segment.
SEGMENT_BYTES = 1448
BOUNDS = {
    'Grace': '6s',
    'RetryBurst': '60',
    'ProbesPerS': '60',
}
LIMITS = {
    'MaxHeaderBytes': 16384,
    'MaxBodyBytes': 67108864,
    'HeaderTimeout': '3000ms',
    'IdleTimeout': '15000ms',
}


def now_s():
    return time.monotonic()


def free_ports(count):
    """Return ports that are free for TCP and UDP."""
    held = []
    ports = []
    while len(ports) < count:
        tcp = socket.socket()
        tcp.bind((HOST, 0))
        port = tcp.getsockname()[1]
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        held += [tcp, udp]
        try:
            udp.bind((HOST, port))
        except OSError:
            continue
        ports.append(port)
    for held_socket in held:
        held_socket.close()
    return ports


class Record:
    """Writes what happens to ``record.txt``, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, 'w', encoding='utf-8')
        self.started_s = now_s()

    def at(self, time_s=None):
        return (now_s() if time_s is None else time_s) - self.started_s

    def write(self, event, /, **fields):
        text = ' '.join(f'{name}={value}' for name, value in fields.items())
        self.file.write(f'{self.at():8.3f} {event} {text}\n')
        self.file.flush()


class Request:
    """A parsed request of an HTTP/1.1 connection."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body


async def read_request(reader):
    """Return the next request, ``None`` at the end of the connection."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    method, target, _ = lines[0].split(' ')
    headers = {}
    for line in lines[1:]:
        name, separator, text = line.partition(':')
        if separator:
            headers[name.lower()] = text.strip()
    body = b''
    if headers.get('transfer-encoding') == 'chunked':
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if not size:
                break
    elif int(headers.get('content-length', 0)):
        body = await reader.readexactly(int(headers['content-length']))
    return Request(method, target, headers, body)


def render(status, headers=(), body=b''):
    lines = [f'HTTP/1.1 {status} Status']
    lines += [f'{name}: {text}' for name, text in headers]
    lines += [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode() + body


class Server:
    """Accepts connections and keeps them, so that they can be cut."""

    def __init__(self, port):
        self.port = port
        self.writers = set()
        self._server = None

    async def open(self):
        self._server = await asyncio.start_server(
            self._on_connection, HOST, self.port, backlog=512
        )

    async def _on_connection(self, reader, writer):
        self.writers.add(writer)
        sock = writer.get_extra_info('socket')
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            # The worker has crashed, or the case ends.
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader, writer):
        raise NotImplementedError

    def close(self):
        """Stop as a killed process does: the peers get resets."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in tuple(self.writers):
            sock = writer.get_extra_info('socket')
            with suppress(OSError):
                linger = struct.pack('ii', 1, 0)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()


class Store(Server):
    """The platform's store: ``kv-key``, ``kv-range`` and ``kv-watch``."""

    def __init__(self, port, record):
        super().__init__(port)
        self.record = record
        self.revision = 1000
        self.items = {}
        self.events = []
        self.era = 1
        self.is_away = False
        self.with_era = False
        self._changed = asyncio.Event()

    def put(self, key, value):
        """Write an item; the return is the ack."""
        body = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        created = self.items.get(key, {}).get('Created', self.revision)
        item = {
            'Key': key,
            'Value': base64.b64encode(body).decode(),
            'Revision': self.revision,
            'Created': created,
            'Lease': 0,
        }
        self.items[key] = item
        self._append(item)
        return self.revision

    def remove(self, key):
        if self.items.pop(key, None) is None:
            return self.revision
        self.revision += 1
        self._append({'Key': key, 'Revision': self.revision, 'Removed': True})
        return self.revision

    def copy(self):
        """Return a copy from which the store can come back."""
        return self.revision, dict(self.items), list(self.events)

    def come_back_from(self, copy):
        self.revision, items, events = copy
        self.items = dict(items)
        self.events = list(events)
        self.era += 1
        self.is_away = False

    def go_away(self):
        """Be silent: connections stay open and get no answer any more."""
        self.is_away = True
        self._wake()

    def _append(self, event):
        self.events.append((now_s(), event))
        self._wake()

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(self, reader, writer):
        while True:
            request = await read_request(reader)
            if request is None:
                return
            response = None
            if not self.is_away:
                era = self.era
                response = await self._answer(request)
            if self.is_away or response is None or era != self.era:
                # A connection on which an answer is lost returns nothing more.
                await asyncio.sleep(3600)
            writer.write(response)
            await writer.drain()

    async def _answer(self, request):
        parts = urlsplit(request.target)
        query = {name: texts[0] for name, texts in parse_qs(
            parts.query, keep_blank_values=True).items()}
        if parts.path == '/figdoor/kv-range':
            return self._range(query)
        if parts.path == '/figdoor/kv-key':
            item = self.items.get(query.get('Key', ''))
            return self._render(200 if item else 404, item or {})
        if parts.path == '/figdoor/kv-watch':
            return await self._watch(query)
        return self._render(404, {})

    def _range(self, query):
        prefix = query.get('Prefix', '')
        after = query.get('after', '')
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        page = [self.items[key] for key in keys[:500]]
        return self._render(200, {
            'items': page,
            'MorePages': len(keys) > 500,
            'AsOf': self.revision,
        })

    async def _watch(self, query):
        prefix = query.get('Prefix', '')
        after = int(query['after'])
        oldest_s = now_s() - HISTORY_S
        lost = [event['Revision'] for at_s, event in self.events
                if at_s < oldest_s]
        if after > self.revision or (lost and after < max(lost)):
            return self._render(410, {})
        until_s = now_s() + int(query.get('WaitMs', 0)) / 1000
        while not self.is_away:
            events = [event for _, event in self.events
                      if event['Revision'] > after
                      and event['Key'].startswith(prefix)]
            left_s = until_s - now_s()
            if events or left_s <= 0:
                return self._render(
                    200, {'events': events, 'AsOf': self.revision}
                )
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except asyncio.TimeoutError:
                pass
        return None

    def _render(self, status, fields):
        headers = [('Content-Type', 'application/json')]
        if self.with_era:
            headers.append(('Store-Era', self.era))
        return render(status, headers, json.dumps(fields).encode())


class Worker(Server):
    """A worker with slots and a queue, which writes its entry to the store."""

    def __init__(self, world, worker_id, service, zone, port, *, work_s=0.05,
                 slots=6, queue=12, tells_load=True, warmup_s=3.0,
                 answer_bytes=0):
        super().__init__(port)
        self.world = world
        self.worker_id = worker_id
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.slots = slots
        self.queue = queue
        self.tells_load = tells_load
        self.warmup_s = warmup_s
        self.answer_bytes = answer_bytes
        self.is_up = False
        self.running = 0
        self.waiting = 0
        self.sequence = 0
        self.state = 'ready'
        self.is_listed = True
        self.cold_until_s = 0.0
        self.born_ms = 0
        self.arrivals = []
        self.poison = None
        self._slots = None
        self._beat_task = None
        self._tasks = set()

    async def start(self, is_cold=False):
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.running = self.waiting = 0
        self._slots = asyncio.Semaphore(self.slots)
        if is_cold:
            self.cold_until_s = now_s() + self.warmup_s
        await self.open()
        self.is_up = True
        self._beat_task = asyncio.create_task(self._beat())

    def crash(self):
        """End like a killed process; it says nothing to the store."""
        self.is_up = False
        if self._beat_task is not None:
            self._beat_task.cancel()
        for task in tuple(self._tasks):
            task.cancel()
        self.close()

    async def restart_later(self, after_s):
        await asyncio.sleep(after_s)
        await self.start(is_cold=True)
        self.world.record.write('worker-back', worker=self.worker_id)

    @property
    def cold_left_ms(self):
        return max(0, int((self.cold_until_s - now_s()) * 1000))

    def entry(self):
        return {
            'Service': self.service,
            'Address': f'{HOST}:{self.port}',
            'Zone': self.zone,
            'Version': 'v1',
            'Capacity': self.slots,
            'State': self.state,
            'WarmupLeft': f'{self.cold_left_ms}ms',
            'Sequence': self.sequence,
            'born': self.born_ms,
        }

    def beat_now(self):
        store = self.world.store
        if self.is_listed and not store.is_away:
            self.sequence += 1
            return store.put(f'servers/{self.worker_id}', self.entry())
        return None

    async def _beat(self):
        self.beat_now()
        # Workers write at different times.
        await asyncio.sleep(random.uniform(0.2, 1) * HEARTBEAT_S)
        while True:
            self.beat_now()
            await asyncio.sleep(HEARTBEAT_S)

    def _load_headers(self):
        if not self.tells_load:
            return []
        counts = f'{self.running},{self.waiting},{self.slots},100'
        return [('Instance-Load', counts)]

    async def serve(self, reader, writer):
        while True:
            request = await read_request(reader)
            if request is None:
                return
            path = request.target.partition('?')[0]
            if path == '/healthz':
                response = await self._health()
            else:
                task = asyncio.create_task(self._run(request, path))
                self._tasks.add(task)
                gone = asyncio.create_task(_wait_for_close(reader, writer))
                await asyncio.wait({task, gone},
                                   return_when=asyncio.FIRST_COMPLETED)
                gone.cancel()
                self._tasks.discard(task)
                if not task.done():
                    # The sender has left, so the request is dropped.
                    task.cancel()
                    return
                response = task.result()
            if response is None or not self.is_up:
                return
            writer.write(response)
            await writer.drain()

    async def _health(self):
        headers = [('Instance-Id', self.worker_id), *self._load_headers()]
        if self.cold_left_ms:
            headers.append(('Warmup-Ms', self.cold_left_ms))
        if not self.tells_load:
            # Waits for a slot, or is rejected, like any other request.
            if self.waiting >= self.queue:
                return render(503, [*headers, ('Not-Executed', 1)])
            self.waiting += 1
            async with self._slots:
                self.waiting -= 1
        is_well = self.state == 'ready'
        return render(200 if is_well else 503, headers)

    async def _run(self, request, path):
        headers = request.headers
        request_id = headers.get('request-id', '')
        echo = [('Request-Id', request_id)]
        expected = headers.get('expected-instance')
        if expected is not None and expected != self.worker_id:
            return render(421, [*echo, ('Instance-Id', self.worker_id)])
        self.world.record.write(
            'arrives', worker=self.worker_id, path=path, id=request_id
        )
        self.arrivals.append((now_s(), request_id, path))
        if self.waiting >= self.queue:
            return render(503, [*echo, ('Not-Executed', 1),
                                *self._load_headers()])
        self.waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            if self.poison is not None and self.poison(request):
                self.world.on_poison(self, request)
                return None
            self.world.on_run(self, request)
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
            self._slots.release()
        signature = f'{self.worker_id}.{request_id}'
        body = f'{self.worker_id} {self.service} {request.target}\n'.encode()
        body = body.ljust(self.answer_bytes, b'.')
        return render(200, [*echo, ('Server-Signature', signature),
                            *self._load_headers()], body)


async def _wait_for_close(reader, writer):
    """Return once the peer has closed its connection."""
    while not reader.at_eof() and not writer.transport.is_closing():
        await asyncio.sleep(0.02)


class Node:
    """A figdoor process, and the platform's view of it."""

    def __init__(self, world, name, zone, ports):
        self.world = world
        self.name = name
        self.zone = zone
        self.port, self.ready_port, self.peer_port = ports
        self.started_s = 0.0
        self.process = None
        self.is_stopping = False
        self.own_ends = 0

    def fields(self):
        seeds = ','.join(
            f'{HOST}:{node.peer_port}' for node in self.world.nodes[:3]
        )
        return {
            'NodeName': self.name,
            'Zone': self.zone,
            'Listen.Frontend': f'{HOST}:{self.port}',
            'Listen.Ready': f'{HOST}:{self.ready_port}',
            'Listen.ControlPlane': f'{HOST}:{self.peer_port}',
            'SeedNodes': seeds,
            'Platform.Address': f'{HOST}:{self.world.store.port}',
            'Limits.MemoryMb': '300',
            'Limits.MaxFds': '4100',
            **{f'Bounds.{name}': text for name, text in BOUNDS.items()},
        }

    def _render(self, text):
        fields = self.fields()
        return re.sub(
            r'\{\{([\w.]+)\}\}', lambda match: fields.get(match[1], ''), text
        )

    async def start(self):
        role = self.world.deploy['roles']['gateway']
        flags = self.world.folder / f'{self.name}.flags'
        template = (ROOT / role['template']).read_text()
        flags.write_text(self._render(template))
        words = role['run'].replace('/etc/figdoor/local.conf', str(flags))
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG') if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        for name, text in role['env'].items():
            environment[name] = self._render(text)
        log = open(self.world.folder / f'{self.name}.log', 'ab')
        self.process = await asyncio.create_subprocess_exec(
            *words.split(), cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self.is_stopping = False
        self.started_s = now_s()
        self.world.record.write('node-start', node=self.name)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                HOST, self.ready_port
            )
            writer.write(b'GET /readyz HTTP/1.1\r\nHost: platform\r\n'
                         b'Connection: close\r\n\r\n')
            head = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
        except (OSError, asyncio.TimeoutError):
            return False
        return b' 200 ' in head

    async def wait_ready(self, timeout_s=15):
        until_s = now_s() + timeout_s
        while now_s() < until_s:
            if self.process.returncode is not None:
                raise CannotRun(f'{self.name} ended with '
                                f'{self.process.returncode}')
            if await self.is_ready():
                self.world.record.write('node-ready', node=self.name)
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f'{self.name} does not get ready')

    async def stop(self):
        """SIGTERM, and SIGKILL after the grace of the platform."""
        self.is_stopping = True
        self.world.record.write('node-sigterm', node=self.name)
        self.process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), GRACE_S)
        except asyncio.TimeoutError:
            self.process.kill()
            await self.process.wait()
        self.world.record.write(
            'node-ended', node=self.name, code=self.process.returncode
        )

    def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()

    def is_in_touch(self, at_s=None):
        """Whether the process has run for ``Stability`` without a signal."""
        at_s = now_s() if at_s is None else at_s
        is_running = self.process.returncode is None and not self.is_stopping
        return is_running and at_s - self.started_s >= STABILITY_S


class CannotRun(Exception):
    """The case could not be carried out."""


class Answer:
    """What a consumer saw of one attempt; status 0 without an answer."""

    def __init__(self, status, headers, body, sent_s, error=''):
        self.status = status
        self.headers = headers
        self.body = body
        self.sent_s = sent_s
        self.ended_s = now_s()
        self.error = error


async def _send_segments(writer, body):
    """Send some segments of a network at a time."""
    while body:
        size = SEGMENT_BYTES * random.randint(1, 12)
        writer.write(body[:size])
        body = body[size:]
        await writer.drain()
        await asyncio.sleep(0.002)


class World:
    """A small deployment."""

    def __init__(self, folder, record):
        self.folder = folder
        self.record = record
        self.store = None
        self.nodes = []
        self.workers = []
        self.runs = {}
        self.deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self._request_count = 0
        self._background = []

    def on_run(self, worker, request):
        request_id = request.headers.get('request-id', '')
        self.runs.setdefault(request_id, []).append((now_s(), worker))
        self.record.write('runs', worker=worker.worker_id, id=request_id)

    def on_poison(self, worker, request):
        raise NotImplementedError

    async def open(self, node_zones):
        ports = free_ports(1 + 3 * len(node_zones))
        self.store = Store(ports.pop(), self.record)
        await self.store.open()
        for index, zone in enumerate(node_zones):
            node_ports = [ports.pop() for _ in range(3)]
            self.nodes.append(
                Node(self, f'edge-{zone}-{index + 1}', zone, node_ports)
            )

    async def add_worker(self, worker_id, service, zone, **settings):
        port, = free_ports(1)
        worker = Worker(self, worker_id, service, zone, port, **settings)
        self.workers.append(worker)
        await worker.start()
        return worker

    async def start_nodes(self):
        for node in self.nodes:
            await node.start()
        for node in self.nodes:
            await node.wait_ready()

    async def request(self, node, method, path, *, deadline_ms=2000, body=b'',
                      kind='request', caller=None, in_segments=False):
        """Send one attempt of a consumer over a new connection.

        ``caller`` holds its loopback address and its ``User-Agent``. With
        ``in_segments``, the body arrives as a network delivers it.
        """
        self._request_count += 1
        request_id = f'{self._request_count:016x}'
        sent_s = now_s()
        self.record.write('sent', node=node.name, method=method, path=path,
                          id=request_id, kind=kind)
        try:
            answer = await asyncio.wait_for(
                self._exchange(node, method, path, deadline_ms, body,
                               request_id, sent_s, caller, in_segments),
                deadline_ms / 1000 + 1,
            )
        except asyncio.TimeoutError:
            answer = Answer(0, {}, b'', sent_s, 'time limit')
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            answer = Answer(0, {}, b'', sent_s, type(error).__name__)
        answer.request_id = request_id
        answer.node = node
        text = answer.body.decode('latin-1').strip().replace('\n', ' ')[:60]
        self.record.write('answered', id=request_id, status=answer.status,
                          error=answer.error, body=repr(text))
        return answer

    async def _exchange(self, node, method, path, deadline_ms, body,
                        request_id, sent_s, caller, in_segments):
        address, user_agent = caller or (HOST, 'consumer')
        reader, writer = await asyncio.open_connection(
            HOST, node.port, local_addr=(address, 0))
        try:
            head = (
                f'{method} {path} HTTP/1.1\r\nHost: shop.example\r\n'
                f'Request-Id: {request_id}\r\nDeadline-Ms: {deadline_ms}\r\n'
                f'User-Agent: {user_agent}\r\nConnection: close\r\n'
            )
            if body or method != 'GET':
                head += f'Content-Length: {len(body)}\r\n'
            writer.write(head.encode() + b'\r\n')
            if in_segments:
                await _send_segments(writer, body)
            else:
                writer.write(body)
            status_line = await reader.readline()
            status = int(status_line.split(b' ')[1])
            headers = {}
            while (line := await reader.readline()) not in {b'\r\n', b''}:
                name, _, text = line.decode('latin-1').partition(':')
                headers[name.lower()] = text.strip()
            if 'content-length' in headers:
                size = int(headers['content-length'])
                content = await reader.readexactly(size)
            else:
                content = await reader.read()
            return Answer(status, headers, content, sent_s)
        except IndexError as error:
            raise asyncio.IncompleteReadError(b'', None) from error
        finally:
            writer.close()

    def in_background(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._background.append(task)
        return task

    async def load(self, per_s, method, prefix, answers, *, deadline_ms=2000,
                   body=b'', counts=True, caller=None):
        """Send requests at a steady rate to the ready nodes in turn.

        If it ``counts``, each request has a path of its own.
        """
        count = 0
        due_s = now_s()
        while True:
            nodes = [node for node in self.nodes
                     if not node.is_stopping and node.process
                     and node.process.returncode is None
                     and now_s() - node.started_s > 2]
            if nodes:
                count += 1
                self.in_background(self._one(
                    nodes[count % len(nodes)], method,
                    f'{prefix}{count}' if counts else prefix, answers,
                    deadline_ms, body, caller))
            due_s += 1 / per_s
            await asyncio.sleep(max(0, due_s - now_s()))

    async def _one(self, node, method, path, answers, deadline_ms, body,
                   caller):
        answers.append(await self.request(
            node, method, path, deadline_ms=deadline_ms, body=body,
            caller=caller))

    async def close(self):
        for task in self._background:
            task.cancel()
        for node in self.nodes:
            node.end()
        for node in self.nodes:
            if node.process is not None:
                await node.process.wait()
        for worker in self.workers:
            worker.crash()
        if self.store is not None:
            self.store.close()


def route(name, prefix, kind, service, **changes):
    return {
        'Name': name,
        'Prefix': prefix,
        'Type': kind,
        'Timeout': '2000ms',
        'TargetLatency': '600ms',
        'Priority': 1,
        'Service': service,
        'MaxAttempts': 2,
        **changes,
    }


def configuration(version, services, routes, warmup_per_s=6.3):
    return {
        'Version': version,
        'Services': [{
            'Name': name,
            'HealthPath': '/healthz',
            'MaxConnections': 240,
            'Protocol': 'h1',
            'TlsEnabled': False,
            'Warmup': '3s',
            'WarmupPerS': warmup_per_s,
        } for name in services],
        'Limits': LIMITS,
        'Hosts': [{'Host': 'shop.example', 'Paths': routes}],
    }


def main(case, case_folder, world_class=World):
    """Run ``case(world, trouble)``, which returns the broken rules."""
    record = Record(Path(case_folder) / 'record.txt')
    trouble = os.environ.get('TROUBLE', '1') != '0'

    async def run():
        with tempfile.TemporaryDirectory() as folder:
            world = world_class(Path(folder), record)
            try:
                return await asyncio.wait_for(case(world, trouble), 110)
            finally:
                await world.close()
                if os.environ.get('KEEP_LOGS'):
                    for log in Path(folder).glob('*.log'):
                        target = Path(os.environ['KEEP_LOGS']) / log.name
                        target.write_bytes(log.read_bytes())

    try:
        broken = asyncio.run(run())
    except Exception as error:
        # A fault of the script, too, must not look like a broken rule.
        record.write('cannot-run', error=repr(error))
        print(f'could not run: {error!r}')
        sys.exit(2)
    for line in broken:
        record.write('BROKEN', rule=line)
        print(f'broken: {line}')
    if not broken:
        record.write('held')
        print('held')
    sys.exit(1 if broken else 0)

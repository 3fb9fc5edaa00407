"""A stand-in upstream with slots, load reports and failure modes.

``python -m figdoor_standins.upstream --port 9001 --slots 6`` serves requests
on loopback. ``GET /_executions`` returns how often each request id
(``x-request-id``) was run and when the last request started (milliseconds of
``CLOCK_BOOTTIME``). ``GET /load`` is the load probe. ``POST
/_control?name=value`` sets fields of ``Behaviour``, for example
``/_control?service_ms=50&draining=1``.
"""

import json
import os
import signal
import sys
from collections import Counter, deque
from dataclasses import dataclass, field
from urllib.parse import parse_qsl

import httptools
from absl import app, flags
from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred
from twisted.internet.protocol import Factory, Protocol

from figdoor_standins.clock import clock_ms
from figdoor_standins.inner_calls import InnerCalls

FLAGS = flags.FLAGS
flags.DEFINE_integer('port', 9001, 'port on loopback')
flags.DEFINE_integer('slots', 6, 'requests that run concurrently')
flags.DEFINE_float('service_ms', 2, 'time to run a request')
flags.DEFINE_integer(
    'queue_limit', 4, 'requests that are queued; more are shed'
)
flags.DEFINE_string('instance', '', 'instance id; default: pid and port')
flags.DEFINE_string('journal', '', 'file to append started requests to')


class Journal:
    """Appends each request or probe that starts, one JSON object per line.

    Lines are written unbuffered, so that they survive a kill of the process.
    """

    def __init__(self, path):
        open_flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self.file = os.open(path, open_flags, 0o644) if path else None

    def write(self, kind, request_id=''):
        if self.file is not None:
            line = {'kind': kind, 'id': request_id, 'at_ms': clock_ms()}
            os.write(self.file, f'{json.dumps(line)}\n'.encode())


@dataclass
class Behaviour:
    """Settings of the upstream, changed by ``/_control``.

    Failure modes are off while they are 0 or empty.
    """

    service_ms: float = 2
    slots: int = 6
    queue_limit: int = 4
    # Reported in the load reports; changes nothing else.
    draining: int = 0
    shed_all: int = 0
    # Respond with 500 at once.
    fail_fast: int = 0
    # Close the connection after half of the body of a 200.
    truncate: int = 0
    # Abort the connection instead of responding to a request at level 0.
    reset: int = 0
    # Number of further POST requests to run and then reset.
    reset_posts: int = 0
    # Abort a connection on any request but its first, without running it.
    reset_reused: int = 0
    # Send bytes that are not HTTP, instead of a response or after it.
    garbage: int = 0
    garbage_after: int = 0
    # Pad the bodies of responses to this size.
    answer_bytes: int = 0
    chunked: int = 0
    # If more requests run at once, the counts say ``fallen`` from then on.
    cold_limit: int = 0
    # The process kills itself on a request with this text in its target.
    die_on: str = ''
    # Gateway ports that requests with a level above 0 call before responding.
    call_ports: str = ''


@dataclass
class Worker:
    """Runs, queues and counts requests."""

    behaviour: Behaviour
    instance: str
    running: int = 0
    most_running: int = 0
    cold_limit_exceeded: bool = False
    probes: int = 0
    last_started_ms: float | None = None
    journal: Journal = field(default_factory=lambda: Journal(''))
    executions: Counter = field(default_factory=Counter)
    queue: deque = field(default_factory=deque)
    inner_calls: InnerCalls = field(default_factory=InnerCalls)

    def handle(self, connection):
        """Run, queue or shed a request."""
        behaviour = self.behaviour
        if behaviour.shed_all:
            connection.shed()
        elif self.running < behaviour.slots:
            self.begin(connection)
        elif len(self.queue) < behaviour.queue_limit:
            self.queue.append(connection)
        else:
            connection.shed()

    def begin(self, connection):
        """Start running a request."""
        behaviour = self.behaviour
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        if behaviour.cold_limit and self.running > behaviour.cold_limit:
            self.cold_limit_exceeded = True
        request_id = connection.request_id
        self.last_started_ms = clock_ms()
        self.journal.write('run', request_id)
        if behaviour.die_on and behaviour.die_on in connection.url.decode():
            os.kill(os.getpid(), signal.SIGKILL)
        if request_id:
            self.executions[request_id] += 1
        delay_s = 0 if behaviour.fail_fast else behaviour.service_ms / 1000
        reactor.callLater(delay_s, self.finish, connection)

    def finish(self, connection):
        """Make the inner call, if any, then respond."""
        ports = self.behaviour.call_ports
        if not connection.levels or not ports:
            self.end(connection)
            return
        self.inner_calls.set_ports(ports)
        inner_call = ensureDeferred(self.inner_calls.call(connection))
        inner_call.addCallback(lambda reply: self.end(connection, reply))

    def end(self, connection, reply=None):
        """Free the slot, respond, and start queued requests."""
        self.running -= 1
        if reply is None or reply.status == 200:
            connection.respond()
        else:
            connection.relay_failure(reply)
        while self.queue and self.running < self.behaviour.slots:
            queued = self.queue.popleft()
            if queued.is_open:
                self.begin(queued)

    def report(self):
        """Return the value of the load report header."""
        return (
            f'running={self.running}, instance={self.instance}, '
            f'draining={self.behaviour.draining}'
        ).encode()


class UpstreamProtocol(Protocol):
    """Parses requests and writes responses."""

    def __init__(self, worker):
        self.worker = worker
        self.is_open = True
        self.parser = httptools.HttpRequestParser(self)
        self.url = b''
        self.headers = {}
        self.body = bytearray()
        self.requests = 0

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)

    def connectionLost(self, reason=None):
        self.is_open = False

    def dataReceived(self, data):
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abortConnection()

    def on_message_begin(self):
        self.url = b''
        self.headers = {}
        self.body = bytearray()

    def on_url(self, url):
        self.url += url

    def on_header(self, name, text):
        self.headers[name.lower()] = text

    def on_body(self, data):
        self.body += data

    @property
    def request_id(self):
        return self.headers.get(b'x-request-id', b'').decode()

    @property
    def levels(self):
        return int(self.headers.get(b'x-levels', b'0'))

    def on_message_complete(self):
        self.method = self.parser.get_method()
        self.received_ms = clock_ms()
        self.requests += 1
        path, _, query = self.url.decode('latin-1').partition('?')
        self.is_control = path.startswith('/_')
        if path == '/_control':
            for name, text in parse_qsl(query):
                kind = type(getattr(Behaviour(), name))
                setattr(self.worker.behaviour, name, kind(text))
            self.write(200, b'ok')
        elif path == '/_executions':
            self.write(
                200,
                json.dumps(
                    {
                        'executions': self.worker.executions,
                        'most_running': self.worker.most_running,
                        'fallen': self.worker.cold_limit_exceeded,
                        'probes': self.worker.probes,
                        'running': self.worker.running,
                        'last_started_ms': self.worker.last_started_ms,
                    },
                ).encode(),
            )
        elif path == '/load':
            self.worker.probes += 1
            self.worker.journal.write('probe')
            self.write(200, b'')
        elif self.worker.behaviour.reset_reused and self.requests > 1:
            self.transport.abortConnection()
        else:
            self.worker.handle(self)

    def shed(self):
        self.write(503, b'shed', ((b'figdoor-shed', b'1'),))

    def respond(self):
        if not self.is_open:
            return
        behaviour = self.worker.behaviour
        if behaviour.reset_posts and self.method == b'POST':
            behaviour.reset_posts -= 1
            self.worker.journal.write('reset', self.request_id)
            self.transport.abortConnection()
            return
        if behaviour.reset and not self.levels:
            self.transport.abortConnection()
            return
        if behaviour.garbage:
            self.transport.write(b'\x00garbage\r\n\r\n')
            return
        if behaviour.fail_fast:
            self.write(500, b'failed')
            return
        text = b'%b %b\n' % (self.method, self.url)
        if behaviour.answer_bytes:
            text = text.ljust(behaviour.answer_bytes, b'.')
        if self.body:
            text += bytes(self.body)
        self.write(200, text)

    def relay_failure(self, reply):
        """Respond with the status and outcome of the failed inner call."""
        if not self.is_open:
            return
        outcome = reply.headers.get('figdoor-outcome')
        headers = []
        if outcome is not None:
            headers.append((b'figdoor-outcome', outcome.encode()))
        self.write(reply.status or 502, b'inner call failed', headers)

    def write(self, status, text, headers=()):
        lines = [b'HTTP/1.1 %d Status' % status]
        lines.append(b'figdoor-load: ' + self.worker.report())
        lines.extend(b'%b: %b' % header for header in headers)
        if self.request_id:
            lines.append(b'x-request-id: ' + self.request_id.encode())
        truncate = self.worker.behaviour.truncate
        if self.worker.behaviour.chunked and status == 200:
            lines.append(b'transfer-encoding: chunked')
            body = b'%x\r\n%b\r\n0\r\n\r\n' % (len(text), text)
            if not text:
                body = b'0\r\n\r\n'
        else:
            lines.append(b'content-length: %d' % len(text))
            body = text
        if self.method == b'HEAD':
            body = b''
        rendered = b'\r\n'.join(lines) + b'\r\n\r\n'
        if truncate and status == 200 and not self.is_control:
            self.transport.write(rendered + body[: len(body) // 2])
            self.transport.loseConnection()
        elif self.worker.behaviour.garbage_after and not self.is_control:
            self.transport.write(rendered + body + b'\x00garbage\r\n\r\n')
        else:
            self.transport.write(rendered + body)


def main(_):
    """Serve until SIGTERM."""
    instance = FLAGS.instance or f'{os.getpid()}-{FLAGS.port}'
    behaviour = Behaviour(
        service_ms=FLAGS.service_ms,
        slots=FLAGS.slots,
        queue_limit=FLAGS.queue_limit,
    )
    worker = Worker(behaviour, instance, journal=Journal(FLAGS.journal))
    factory = Factory()
    factory.noisy = False
    factory.buildProtocol = lambda _: UpstreamProtocol(worker)
    reactor.listenTCP(FLAGS.port, factory, interface='127.0.0.1', backlog=512)
    sys.stdout.write('ready\n')
    sys.stdout.flush()
    reactor.run()


if __name__ == '__main__':
    app.run(main)

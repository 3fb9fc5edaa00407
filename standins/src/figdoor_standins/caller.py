"""A stand-in caller that checks the responses to its requests.

``python -m figdoor_standins.caller --ports 8080,8081 --connections 16
--requests 1000`` prints a line when the first request has ended, and then one
JSON object: the outcome of each request id, and quantiles of the latency of
answered requests. Each keep-alive connection has one request in progress; with
``--rate`` requests start at a constant rate over all connections.

The run ends after ``--requests``. After ``--seconds`` it starts no more
requests and waits up to 5 s for those in progress; a request without a
response by then has the outcome ``cut``.
"""

import gc
import json
import sys
from collections import deque
from time import perf_counter

import httptools
from absl import app, flags
from twisted.internet import reactor
from twisted.internet.protocol import Factory, Protocol

FLAGS = flags.FLAGS
flags.DEFINE_list('ports', ['8080'], 'ports on loopback, used round-robin')
flags.DEFINE_integer('connections', 1, 'connections open at once')
flags.DEFINE_integer('requests', 100, 'requests to send in all')
flags.DEFINE_float('seconds', 20, 'longest time for the run')
flags.DEFINE_float('rate', 0, 'requests per second in total; 0: unlimited')
flags.DEFINE_string('method', 'GET', 'method of the requests')
flags.DEFINE_string('path', '/work', 'target of the requests')
flags.DEFINE_integer('body_bytes', 0, 'size of each request body')
flags.DEFINE_integer('levels', 0, 'levels of inner calls below each request')
flags.DEFINE_string('prefix', 'r', 'start of each request id')
flags.DEFINE_integer('warm_up', 0, 'first requests that are not measured')

RECONNECT_S = 0.05
DRAIN_S = 5
QUANTILES = {'p50_ms': 0.5, 'p99_ms': 0.99, 'p999_ms': 0.999}


class Run:
    """Assigns requests to connections and collects their outcomes."""

    def __init__(self):
        self.outcomes = {}
        self.latencies_s = []
        self.sent = 0
        self.ended = 0
        self.idle = deque()
        self.started_s = perf_counter()
        self.is_ending = False

    def has_more(self):
        return self.sent < FLAGS.requests and not self.is_ending

    def finish(self):
        """Start no more requests and wait for those in progress."""
        self.is_ending = True
        reactor.callLater(DRAIN_S, stop)
        self.stop_when_done()

    def stop_when_done(self):
        is_done = self.is_ending and self.ended == self.sent
        if is_done or self.ended >= FLAGS.requests:
            stop()

    def on_idle(self, connection):
        """Send the next request on an idle connection, or close it."""
        if not self.has_more():
            connection.transport.loseConnection()
        elif FLAGS.rate:
            self.idle.append(connection)
        else:
            connection.send()

    def send_due(self):
        """Send the requests that are due at the rate."""
        due = (perf_counter() - self.started_s) * FLAGS.rate
        while self.idle and self.has_more() and self.sent < due:
            connection = self.idle.popleft()
            if connection.is_open:
                connection.send()
        if self.has_more():
            reactor.callLater(0.0005, self.send_due)

    def on_ended(self, request_id, outcome, latency_s):
        self.outcomes[request_id] = outcome
        self.ended += 1
        if self.ended == 1:
            sys.stdout.write('begun\n')
            sys.stdout.flush()
        if outcome == 'answered' and self.ended > FLAGS.warm_up:
            self.latencies_s.append(latency_s)
        self.stop_when_done()


class CallerConnection(Protocol):
    """A connection with at most one request in progress."""

    def __init__(self, run):
        self.run = run
        self.is_open = False
        self.request_id = None

    def connectionMade(self):
        self.is_open = True
        self.transport.setTcpNoDelay(True)
        self.run.on_idle(self)

    def send(self):
        run = self.run
        self.request_id = f'{FLAGS.prefix}-{run.sent}'
        run.sent += 1
        self.parser = httptools.HttpResponseParser(self)
        self.headers = {}
        self.is_complete = False
        head = (
            f'{FLAGS.method} {FLAGS.path} HTTP/1.1\r\nHost: any.example\r\n'
            f'X-Request-Id: {self.request_id}\r\n'
        )
        if FLAGS.levels:
            head += f'X-Levels: {FLAGS.levels}\r\n'
        if FLAGS.body_bytes or FLAGS.method != 'GET':
            head += f'Content-Length: {FLAGS.body_bytes}\r\n'
        body = b'b' * FLAGS.body_bytes
        self.sent_s = perf_counter()
        self.transport.write(head.encode() + b'\r\n' + body)

    def dataReceived(self, data):
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abortConnection()
        if self.is_complete:
            latency_s = perf_counter() - self.sent_s
            request_id = self.request_id
            self.request_id = None
            self.run.on_ended(
                request_id, self.outcome_of(request_id), latency_s
            )
            if self.keeps_open:
                self.run.on_idle(self)
            else:
                self.transport.loseConnection()

    def outcome_of(self, request_id):
        """Return the outcome that the response states.

        For a response to another request, names that request instead.
        """
        outcome = self.headers.get(b'figdoor-outcome', b'answered').decode()
        echoed = self.headers.get(b'x-request-id', b'').decode()
        if outcome == 'answered' and echoed != request_id:
            return f'answer to {echoed}'
        return outcome

    def on_header(self, name, text):
        self.headers[name.lower()] = text

    def on_message_complete(self):
        self.is_complete = True
        self.keeps_open = self.parser.should_keep_alive()

    def connectionLost(self, reason=None):
        self.is_open = False
        if self.request_id is not None:
            latency_s = perf_counter() - self.sent_s
            self.run.on_ended(self.request_id, 'cut', latency_s)
        if self.run.has_more():
            reactor.callLater(RECONNECT_S, connect, self.run, self.port)


def connect(run, port):
    """Open a connection; retries until it is accepted."""
    factory = Factory()
    factory.noisy = False

    def build(_):
        connection = CallerConnection(run)
        connection.port = port
        return connection

    factory.buildProtocol = build
    factory.doStart = factory.doStop = lambda: None
    factory.startedConnecting = lambda _: None
    factory.clientConnectionLost = lambda *_: None
    factory.clientConnectionFailed = lambda *_: reactor.callLater(
        RECONNECT_S,
        connect,
        run,
        port,
    )
    reactor.connectTCP('127.0.0.1', port, factory, timeout=2)


def stop():
    """Stop the reactor, unless it is stopped already."""
    if reactor.running:
        reactor.stop()


def quantiles(latencies_s):
    """Return the quantiles in milliseconds."""
    ordered = sorted(latencies_s)
    if not ordered:
        return {}
    return {
        name: 1000 * ordered[min(len(ordered) - 1, int(share * len(ordered)))]
        for name, share in QUANTILES.items()
    }


def main(_):
    """Run and print the result."""
    run = Run()
    gc.freeze()
    gc.disable()
    for number in range(FLAGS.connections):
        connect(run, int(FLAGS.ports[number % len(FLAGS.ports)]))
    if FLAGS.rate:
        reactor.callWhenRunning(run.send_due)
    reactor.callLater(FLAGS.seconds, run.finish)
    reactor.run()
    seconds = perf_counter() - run.started_s
    json.dump(
        {
            'told': run.outcomes,
            'sent': run.sent,
            'seconds': seconds,
            **quantiles(run.latencies_s),
        },
        sys.stdout,
    )


if __name__ == '__main__':
    app.run(main)

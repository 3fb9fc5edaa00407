"""A stand-in caller: sends requests over kept connections and judges answers.

``python -m figdoor_standins.caller --ports 8080,8081 --connections 16
--requests 1000`` prints a line when the first request has ended, and then one
JSON object: what the caller was told for each request id, and the quantiles of
the latency of answers. Each connection has one request in progress; with
``--rate`` the starts are spread evenly over all connections.
The run ends after ``--requests``. After ``--seconds`` it starts no request and
waits for those in progress; what has no answer 5 s later counts as cut.
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
flags.DEFINE_list('ports', ['8080'], 'ports on loopback, used in turn')
flags.DEFINE_integer('connections', 1, 'connections open at once')
flags.DEFINE_integer('requests', 100, 'requests to send in all')
flags.DEFINE_float('seconds', 20, 'longest time for the run')
flags.DEFINE_float('rate', 0, 'requests per second over all; 0: no pause')
flags.DEFINE_string('method', 'GET', 'method of the requests')
flags.DEFINE_string('path', '/work', 'target of the requests')
flags.DEFINE_integer('body_bytes', 0, 'size of each request body')
flags.DEFINE_integer('levels', 0, 'inner calls below each request')
flags.DEFINE_string('prefix', 'r', 'start of each request id')
flags.DEFINE_integer('warm_up', 0, 'first requests that are not measured')

RECONNECT_S = 0.05
LAST_ANSWERS_S = 5
QUANTILES = {'p50_ms': 0.5, 'p99_ms': 0.99, 'p999_ms': 0.999}


class Run:
    """Hands out requests and collects what becomes of them."""

    def __init__(self):
        self.told = {}
        self.latencies = []
        self.sent = 0
        self.ended = 0
        self.free = deque()
        self.began = perf_counter()
        self.is_ending = False

    def wants_more(self):
        return self.sent < FLAGS.requests and not self.is_ending

    def finish(self):
        """Start nothing more and wait for what is in progress."""
        self.is_ending = True
        reactor.callLater(LAST_ANSWERS_S, stop)
        self.stop_when_done()

    def stop_when_done(self):
        is_done = self.is_ending and self.ended == self.sent
        if is_done or self.ended >= FLAGS.requests:
            stop()

    def offer(self, caller):
        """Use a connection that is free for the next request."""
        if not self.wants_more():
            caller.transport.loseConnection()
        elif FLAGS.rate:
            self.free.append(caller)
        else:
            caller.send()

    def pace(self):
        """Start what is due by now."""
        due = (perf_counter() - self.began) * FLAGS.rate
        while self.free and self.wants_more() and self.sent < due:
            caller = self.free.popleft()
            if caller.is_open:
                caller.send()
        if self.wants_more():
            reactor.callLater(0.0005, self.pace)

    def end(self, request_id, told, latency_s):
        self.told[request_id] = told
        self.ended += 1
        if self.ended == 1:
            sys.stdout.write('begun\n')
            sys.stdout.flush()
        if told == 'answered' and self.ended > FLAGS.warm_up:
            self.latencies.append(latency_s)
        self.stop_when_done()


class Caller(Protocol):
    """One connection of the caller."""

    def __init__(self, run):
        self.run = run
        self.is_open = False
        self.request_id = None

    def connectionMade(self):
        self.is_open = True
        self.transport.setTcpNoDelay(True)
        self.run.offer(self)

    def send(self):
        run = self.run
        self.request_id = f'{FLAGS.prefix}-{run.sent}'
        run.sent += 1
        self.parser = httptools.HttpResponseParser(self)
        self.headers = {}
        self.complete = False
        head = (
            f'{FLAGS.method} {FLAGS.path} HTTP/1.1\r\nHost: any.example\r\n'
            f'X-Request-Id: {self.request_id}\r\n'
        )
        if FLAGS.levels:
            head += f'X-Levels: {FLAGS.levels}\r\n'
        if FLAGS.body_bytes or FLAGS.method != 'GET':
            head += f'Content-Length: {FLAGS.body_bytes}\r\n'
        body = b'b' * FLAGS.body_bytes
        self.sent_at = perf_counter()
        self.transport.write(head.encode() + b'\r\n' + body)

    def dataReceived(self, data):
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abortConnection()
        if self.complete:
            latency_s = perf_counter() - self.sent_at
            request_id = self.request_id
            self.request_id = None
            self.run.end(request_id, self.judge(request_id), latency_s)
            if self.keeps_open:
                self.run.offer(self)
            else:
                self.transport.loseConnection()

    def judge(self, request_id):
        """Return what the caller was told about its own request."""
        outcome = self.headers.get(b'figdoor-outcome', b'answered').decode()
        echoed = self.headers.get(b'x-request-id', b'').decode()
        if outcome == 'answered' and echoed != request_id:
            return f'answer to {echoed}'
        return outcome

    def on_header(self, name, text):
        self.headers[name.lower()] = text

    def on_message_complete(self):
        self.complete = True
        self.keeps_open = self.parser.should_keep_alive()

    def connectionLost(self, reason=None):
        self.is_open = False
        if self.request_id is not None:
            latency_s = perf_counter() - self.sent_at
            self.run.end(self.request_id, 'cut', latency_s)
        if self.run.wants_more():
            reactor.callLater(RECONNECT_S, connect, self.run, self.port)


def connect(run, port):
    """Open a connection, again and again where it is refused."""
    factory = Factory()
    factory.noisy = False

    def build(_):
        caller = Caller(run)
        caller.port = port
        return caller

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
    """End the run once."""
    if reactor.running:
        reactor.stop()


def quantiles(latencies):
    """Return the quantiles in milliseconds."""
    ordered = sorted(latencies)
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
        reactor.callWhenRunning(run.pace)
    reactor.callLater(FLAGS.seconds, run.finish)
    reactor.run()
    seconds = perf_counter() - run.began
    json.dump(
        {
            'told': run.told,
            'sent': run.sent,
            'seconds': seconds,
            **quantiles(run.latencies),
        },
        sys.stdout,
    )


if __name__ == '__main__':
    app.run(main)

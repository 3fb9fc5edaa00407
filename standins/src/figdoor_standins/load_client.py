"""A small HTTP/1.1 client for load: keep-alive, no pipelining.

It never retries, so the caller decides what a lost connection means.
"""

from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum, unique

import httptools
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory, Protocol

CONNECT_TIMEOUT_S = 1
MAX_IDLE_PER_TARGET = 200


@unique
class Ending(Enum):
    """How an attempt ended for the client."""

    COMPLETE = 'whole'
    UNSENT = 'unsent'
    LOST = 'lost'


@dataclass
class Reply:
    """Result of an attempt; ``status`` is 0 without a complete response."""

    ending: Ending
    status: int = 0
    headers: dict = field(default_factory=dict)
    body: bytes = b''


def render_request(method, path, headers, body=b''):
    """Return the bytes of a request."""
    lines = [f'{method} {path} HTTP/1.1']
    lines.extend(f'{name}: {text}' for name, text in headers.items())
    if body:
        lines.append(f'content-length: {len(body)}')
    return '\r\n'.join((*lines, '', '')).encode() + body


class LoadConnection(Protocol):
    """A connection with at most one request in progress."""

    def __init__(self, client, target):
        self.client = client
        self.target = target
        self.pending = None
        self.timer = None

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)

    def send(self, request, timeout_s):
        """Return a ``Deferred`` that fires with the ``Reply``."""
        self.parser = httptools.HttpResponseParser(self)
        self.reply = Reply(Ending.COMPLETE)
        self.pending = Deferred()
        self.timer = reactor.callLater(
            timeout_s,
            self.transport.abortConnection,
        )
        self.transport.write(request)
        return self.pending

    def dataReceived(self, data):
        if self.pending is None:
            self.transport.abortConnection()
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abortConnection()

    def on_header(self, name, text):
        self.reply.headers[name.lower().decode()] = text.decode()

    def on_body(self, data):
        self.reply.body += data

    def on_message_complete(self):
        status = self.parser.get_status_code()
        if status >= 200:
            self.reply.status = status
            if self.parser.should_keep_alive():
                self.client.release(self)
            else:
                self.client.discard(self)
                self.transport.loseConnection()
            self.finish(self.reply)

    def connectionLost(self, reason=None):
        self.client.discard(self)
        self.finish(Reply(Ending.LOST))

    def finish(self, reply):
        pending, self.pending = self.pending, None
        if pending is not None:
            self.timer.cancel() if self.timer.active() else None
            pending.callback(reply)


class LoadClient:
    """Sends requests over a pool of idle connections.

    ``idle`` lists connections by target, which is a pair of host and port.
    """

    def __init__(self):
        self.idle = defaultdict(list)

    async def request(self, target, request, timeout_s=10):
        """Return the ``Reply`` to one request; never raises."""
        idle = self.idle[target]
        if idle:
            return await idle.pop().send(request, timeout_s)
        endpoint = TCP4ClientEndpoint(reactor, *target, CONNECT_TIMEOUT_S)
        factory = Factory()
        factory.noisy = False
        factory.buildProtocol = lambda _: LoadConnection(self, target)
        try:
            connection = await endpoint.connect(factory)
        except Exception:
            return Reply(Ending.UNSENT)
        return await connection.send(request, timeout_s)

    def release(self, connection):
        """Return a connection to the pool; closes it if the pool is full."""
        idle = self.idle[connection.target]
        if len(idle) < MAX_IDLE_PER_TARGET:
            idle.append(connection)
        else:
            connection.transport.loseConnection()

    def discard(self, connection):
        """Remove a connection from the pool."""
        if connection in self.idle[connection.target]:
            self.idle[connection.target].remove(connection)

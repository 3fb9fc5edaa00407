"""A stand-in worker that speaks the platform's headers.

``python -m figdoor_standins.store_worker --port 9001 --worker_id i-1`` runs
each request for ``--work_ms``, signs its responses, refuses requests that
expect another instance with 421, and counts executions by request id.
``GET /_runs`` returns the counts, and ``GET /_callers`` the values of
``Tenant`` and ``Authorization`` by request id. ``POST /_mode?mode=M`` sets ``well``,
``draining`` (unhealthy), ``full`` (responds 503 with ``Not-Executed``),
``failing`` (responds 500), ``mute`` (runs requests and never responds) or
``crashing`` (resets the connections of requests that it runs).
"""

import json
from collections import Counter

from absl import app as absl_app
from absl import flags
from klein import Klein
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from figdoor_standins.serving import serve

FLAGS = flags.FLAGS
flags.DEFINE_integer('port', 9001, 'port on loopback')
flags.DEFINE_string('worker_id', 'i-1', 'instance id of this process')
flags.DEFINE_float('work_ms', 5, 'time to run a request')
SLOTS = 6


class Worker:
    """Counts executions by request id, and requests in progress."""

    app = Klein()

    def __init__(self):
        self.mode = 'well'
        self.running = 0
        self.runs = Counter()
        self.callers = {}

    @app.route('/healthz')
    def health(self, request):
        request.setHeader('Instance-Id', FLAGS.worker_id)
        request.setHeader('Instance-Load', f'{self.running},0,{SLOTS},100')
        if self.mode == 'draining':
            request.setResponseCode(503)
        return b''

    @app.route('/_runs')
    def counts(self, request):
        return json.dumps(self.runs).encode()

    @app.route('/_callers')
    def seen_callers(self, request):
        return json.dumps(self.callers).encode()

    @app.route('/_mode', methods=['POST'])
    def set_mode(self, request):
        self.mode = request.args[b'mode'][0].decode()
        return b'ok'

    @app.route('/work/<path:rest>', methods=['GET', 'POST'])
    def work(self, request, rest):
        request_id = request.getHeader('request-id') or ''
        request.setHeader('Request-Id', request_id)
        if request.getHeader('expected-instance') != FLAGS.worker_id:
            request.setResponseCode(421)
            return b''
        if self.mode == 'full':
            request.setResponseCode(503)
            request.setHeader('Not-Executed', '1')
            return b''
        self.runs[request_id] += 1
        headers = request.requestHeaders
        self.callers[request_id] = [
            headers.getRawHeaders(name, [])
            for name in ('tenant', 'authorization')
        ]
        if self.mode == 'crashing':
            request.transport.abortConnection()
            return Deferred()
        self.running += 1
        if self.mode == 'mute':
            return Deferred()
        pending = deferLater(reactor, FLAGS.work_ms / 1000, self.end, request)
        request.notifyFinish().addErrback(lambda _: pending.cancel())
        return pending.addErrback(lambda _: b'')

    def end(self, request):
        self.running -= 1
        request.setHeader('Server-Signature', f'{FLAGS.worker_id}.1')
        if self.mode == 'failing':
            request.setResponseCode(500)
        return FLAGS.worker_id.encode()


def main(_):
    """Serve until SIGTERM."""
    serve(Worker().app, FLAGS.port)


if __name__ == '__main__':
    absl_app.run(main)

"""A stand-in for the platform's configuration service and VM list.

``python -m figdoor_standins.platform --port 9000`` serves on loopback:

- ``GET /v1/tables?after=R&wait_ms=W``: 200 with ``{"revision": R, "routes":
  text, "pools": text}`` (and ``"tenants"`` if there is such a table) once there is
  a revision above R, 204 after W ms;
- ``GET /v1/vms``: 200 with ``{"vms": [{"id", "service",
  "availability_zone", "host", "port", "state"}]}`` and an ``ETag``, or 304
  if the request has this ``ETag`` in ``If-None-Match``;
- ``POST /_publish`` with ``{"routes", "pools"}`` (and ``"tenants"``, and ``"revision"`` to serve
  an old one), ``POST /_vms`` with ``{"vms"}``, ``POST /_mode?down=1`` to
  respond to both reads with 500, ``GET /_calls`` for the counts of reads.
"""

import json
from hashlib import sha256

from absl import app as absl_app
from absl import flags
from klein import Klein
from twisted.internet import reactor
from twisted.internet.defer import Deferred

from figdoor_standins.serving import serve

FLAGS = flags.FLAGS
flags.DEFINE_integer('port', 9000, 'port on loopback')


class Platform:
    """Holds tables and VM list in memory, and the pending long polls."""

    app = Klein()

    def __init__(self):
        self.revision = 0
        self.routes = ''
        self.pools = ''
        self.tenants = ''
        self.vms = []
        self.is_down = False
        self.calls = 0
        self.table_calls = 0
        self.polls = set()

    @app.route('/v1/tables')
    def tables(self, request):
        self.calls += 1
        self.table_calls += 1
        if self.is_down:
            request.setResponseCode(500)
            return b''
        after = int(request.args.get(b'after', [b'0'])[0])
        wait_ms = float(request.args.get(b'wait_ms', [b'0'])[0])
        if self.revision > after or not wait_ms:
            return self.render(request, after)
        poll = Deferred()
        self.polls.add(poll)
        timer = reactor.callLater(wait_ms / 1000, self.finish_poll, poll)
        request.notifyFinish().addErrback(
            lambda _: self.polls.discard(poll),
        )

        def finish(_):
            if timer.active():
                timer.cancel()
            return self.render(request, after)

        return poll.addCallback(finish)

    def finish_poll(self, poll):
        if poll in self.polls:
            self.polls.discard(poll)
            poll.callback(None)

    def render(self, request, after):
        if self.is_down:
            request.setResponseCode(500)
            return b''
        if self.revision <= after:
            request.setResponseCode(204)
            return b''
        return json.dumps(
            {
                'revision': self.revision,
                'routes': self.routes,
                'pools': self.pools,
                **({'tenants': self.tenants} if self.tenants else {}),
            },
        ).encode()

    @app.route('/v1/vms')
    def vm_list(self, request):
        self.calls += 1
        if self.is_down:
            request.setResponseCode(500)
            return b''
        body = json.dumps({'vms': self.vms}).encode()
        if request.setETag(b'"%s"' % sha256(body).hexdigest().encode()):
            return b''
        return body

    @app.route('/_publish', methods=['POST'])
    def publish(self, request):
        tables = json.load(request.content)
        self.routes = tables['routes']
        self.pools = tables['pools']
        self.tenants = tables.get('tenants', '')
        self.revision = tables.get('revision', self.revision + 1)
        for poll in tuple(self.polls):
            self.finish_poll(poll)
        return str(self.revision).encode()

    @app.route('/_vms', methods=['POST'])
    def set_vms(self, request):
        self.vms = json.load(request.content)['vms']
        return b'ok'

    @app.route('/_mode', methods=['POST'])
    def mode(self, request):
        self.is_down = request.args.get(b'down', [b'0'])[0] == b'1'
        return b'ok'

    @app.route('/_calls')
    def call_counts(self, request):
        return json.dumps(
            {'calls': self.calls, 'table_calls': self.table_calls},
        ).encode()


def main(_):
    """Serve until SIGTERM."""
    serve(Platform().app, FLAGS.port)


if __name__ == '__main__':
    absl_app.run(main)

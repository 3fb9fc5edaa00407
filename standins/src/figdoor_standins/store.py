"""A stand-in for the platform's store, which nodes read and watch.

``python -m figdoor_standins.store --port 9000`` serves on loopback:

- ``GET /figdoor/kv-range`` and ``GET /figdoor/kv-watch`` as in the platform's
  documentation, with two items on a page so that clients have to paginate;
- ``POST /_put?key=K`` with the value as body, ``POST /_remove?key=K``,
  ``POST /_mode?status=S`` to respond to reads with that status (0: never
  respond), ``POST /_forget`` to discard the history, and ``GET /_calls`` for
  the count of reads;
- ``POST /_copy`` to keep a copy, and ``POST /_restore`` to come back from it:
  revisions go back, and ``Store-Era`` in all responses rises by one.
"""

import json
from base64 import b64encode

from absl import app as absl_app
from absl import flags
from klein import Klein
from twisted.internet import reactor
from twisted.internet.defer import Deferred

from figdoor_standins.serving import serve

FLAGS = flags.FLAGS
flags.DEFINE_integer('port', 9000, 'port on loopback')
PAGE_ITEMS = 2


class Store:
    """Holds items and their history in memory, and the pending watches."""

    app = Klein()

    def __init__(self):
        self.era = 1
        self.revision = 100
        self.items = {}
        self.events = []
        self.oldest_revision = 100
        self.status = 200
        self.calls = 0
        # The prefix of the keys of each watch.
        self.watches = {}
        self.copied = None

    @app.route('/figdoor/kv-range')
    def range(self, request):
        self.begin(request)
        if self.status != 200:
            return self.fail(request)
        after = _argument(request, b'after')
        prefix = _argument(request, b'Prefix')
        keys = sorted(
            key for key in self.items if key > after and key.startswith(prefix)
        )
        page = {
            'items': [self.items[key] for key in keys[:PAGE_ITEMS]],
            'MorePages': len(keys) > PAGE_ITEMS,
            'AsOf': self.revision,
        }
        return json.dumps(page).encode()

    @app.route('/figdoor/kv-watch')
    def watch(self, request):
        self.begin(request)
        if self.status != 200:
            return self.fail(request)
        after = int(_argument(request, b'after'))
        if not self.oldest_revision <= after <= self.revision:
            request.setResponseCode(410)
            return b'{}'
        wait_ms = int(_argument(request, b'WaitMs'))
        prefix = _argument(request, b'Prefix')
        pending = Deferred()
        if self.events_after(after, prefix):
            return self.render_events(after, prefix)
        self.watches[pending] = prefix
        reactor.callLater(wait_ms / 1000, self.finish_watch, pending)
        pending.addCallback(lambda _: self.render_events(after, prefix))
        return pending

    @app.route('/_put', methods=['POST'])
    def put(self, request):
        key = _argument(request, b'key')
        value = b64encode(request.content.read()).decode()
        self.revision += 1
        item = {
            'Key': key,
            'Value': value,
            'Revision': self.revision,
            'Created': self.revision,
            'Lease': 0,
        }
        self.items[key] = item
        self.append_event(item)
        return b'ok'

    @app.route('/_remove', methods=['POST'])
    def remove(self, request):
        key = _argument(request, b'key')
        self.revision += 1
        self.items.pop(key, None)
        self.append_event(
            {'Key': key, 'Revision': self.revision, 'Removed': True}
        )
        return b'ok'

    @app.route('/_mode', methods=['POST'])
    def mode(self, request):
        self.status = int(_argument(request, b'status'))
        return b'ok'

    @app.route('/_forget', methods=['POST'])
    def forget(self, request):
        self.revision += 1
        self.oldest_revision = self.revision
        self.events.clear()
        return b'ok'

    @app.route('/_copy', methods=['POST'])
    def copy(self, request):
        self.copied = (self.revision, dict(self.items), list(self.events))
        return b'ok'

    @app.route('/_restore', methods=['POST'])
    def restore(self, request):
        for pending in tuple(self.watches):
            del self.watches[pending]
            pending.cancel()
        self.revision, self.items, self.events = self.copied
        self.era += 1
        return b'ok'

    @app.route('/_calls')
    def call_counts(self, request):
        return json.dumps({'calls': self.calls}).encode()

    def begin(self, request):
        self.calls += 1
        request.setHeader('Store-Era', str(self.era))

    def fail(self, request):
        if not self.status:
            return Deferred()
        request.setResponseCode(self.status)
        return b'{}'

    def append_event(self, event):
        self.events.append(event)
        for pending, prefix in tuple(self.watches.items()):
            if event['Key'].startswith(prefix):
                self.finish_watch(pending)

    def events_after(self, after, prefix):
        return [
            event
            for event in self.events
            if event['Revision'] > after and event['Key'].startswith(prefix)
        ]

    def render_events(self, after, prefix):
        events = self.events_after(after, prefix)
        response = {'events': events, 'AsOf': self.revision}
        return json.dumps(response).encode()

    def finish_watch(self, pending):
        if pending in self.watches:
            del self.watches[pending]
            pending.callback(None)


def _argument(request, name):
    return request.args.get(name, [b''])[0].decode()


def main(_):
    """Serve until SIGTERM."""
    serve(Store().app, FLAGS.port)


if __name__ == '__main__':
    absl_app.run(main)

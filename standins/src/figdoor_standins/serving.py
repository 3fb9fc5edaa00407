"""Serves a stand-in written with Klein."""

import sys

from twisted.internet import reactor
from twisted.web.server import Site


def serve(app, port):
    """Serve on loopback until SIGTERM; prints ``ready`` once it listens."""
    site = Site(app.resource())
    site.noisy = False
    reactor.listenTCP(port, site, interface='127.0.0.1', backlog=512)
    sys.stdout.write('ready\n')
    sys.stdout.flush()
    reactor.run()

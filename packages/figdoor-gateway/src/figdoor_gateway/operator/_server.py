"""The operators' HTTP server."""

import json
from typing import Any

from klein import Klein
from loguru import logger
from twisted.web.http import Request
from twisted.web.server import Site

from figdoor_gateway.loop import reactor
from figdoor_gateway.operator._in_force import InForce
from figdoor_gateway.operator._page import render_page
from figdoor_kernel import Extension, Node

_UNAVAILABLE = 503


class OperatorServer:
    """Serves ``/healthz``, ``/readyz``, ``/metrics``, ``/in-force`` and ``/``.

    Everything is read-only: operators change the tables and nothing else.
    """

    app = Klein()

    def __init__(self, node: Node) -> None:
        """Use the node's parts when asked."""
        self._node = node
        self._in_force = InForce(node)
        self._port: Any = None

    def start(self) -> None:
        """Open the listener."""
        address = self._node.settings.operator_listen
        site = Site(self.app.resource())
        site.noisy = False
        self._port = reactor.listenTCP(
            address.port,
            site,
            interface=address.host,
        )
        logger.info('operator pages on {}', address)

    def stop(self) -> None:
        """Close the listener."""
        if self._port is not None:
            self._port.stopListening()

    @app.route('/healthz')
    def healthz(self, request: Request) -> bytes:
        """Tell that the process runs."""
        return b'ok\n'

    @app.route('/readyz')
    def readyz(self, request: Request) -> bytes:
        """Tell whether callers should be sent here, and why not."""
        readiness = self._node.part(Extension.SERVICE, 'readiness')
        reasons = readiness.reasons(self._node.clock.now_ms())
        if reasons:
            request.setResponseCode(_UNAVAILABLE)
            return '\n'.join((*reasons, '')).encode()
        return b'ready\n'

    @app.route('/metrics')
    def metrics(self, request: Request) -> bytes:
        """Return all metrics in Prometheus' text format."""
        request.setHeader(b'content-type', b'text/plain; version=0.0.4')
        metrics = self._node.part(Extension.SERVICE, 'metrics')
        return metrics.render()  # type: ignore[no-any-return]

    @app.route('/in-force')
    def in_force(self, request: Request) -> bytes:
        """Return what is in force as JSON."""
        request.setHeader(b'content-type', b'application/json')
        return json.dumps(self._in_force.describe(), indent=2).encode()

    @app.route('/')
    def page(self, request: Request) -> bytes:
        """Return what is in force as a page."""
        request.setHeader(b'content-type', b'text/html; charset=utf-8')
        return render_page(self._in_force.describe()).encode()

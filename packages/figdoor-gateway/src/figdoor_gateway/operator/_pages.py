"""The pages for operators."""

import json

from klein import Klein
from twisted.web.http import Request

from figdoor_gateway.operator._in_force import InForce
from figdoor_gateway.operator._page import render_page
from figdoor_kernel import Extension, Node


class OperatorPages:
    """Serves ``/metrics``, ``/in-force`` and ``/``, all read-only."""

    app = Klein()

    def __init__(self, node: Node, in_force: InForce) -> None:
        """Use the node's parts when asked."""
        self._node = node
        self._in_force = in_force

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

"""The Klein routes of the operator server."""

import json

from klein import Klein
from twisted.web.http import Request

from figdoor_gateway.operator._html import render_page
from figdoor_gateway.operator._status import NodeStatus
from figdoor_kernel import Extension, Node


class OperatorPages:
    """Serves ``/metrics``, ``/in-force`` and ``/``, all read-only."""

    app = Klein()

    def __init__(self, node: Node, status: NodeStatus) -> None:
        """Look up the node's parts only when a page is requested."""
        self._node = node
        self._status = status

    @app.route('/metrics')
    def metrics(self, request: Request) -> bytes:
        """Return all metrics in Prometheus' text format."""
        request.setHeader(b'content-type', b'text/plain; version=0.0.4')
        metrics = self._node.part(Extension.SERVICE, 'metrics')
        return metrics.render()  # type: ignore[no-any-return]

    @app.route('/in-force')
    def in_force(self, request: Request) -> bytes:
        """Return the status of the node as JSON."""
        request.setHeader(b'content-type', b'application/json')
        return json.dumps(self._status.describe(), indent=2).encode()

    @app.route('/')
    def page(self, request: Request) -> bytes:
        """Return the status of the node as an HTML page."""
        request.setHeader(b'content-type', b'text/html; charset=utf-8')
        return render_page(self._status.describe()).encode()

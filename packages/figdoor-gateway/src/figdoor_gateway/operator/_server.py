"""The HTTP server for operators."""

from importlib import import_module
from typing import Any

from loguru import logger
from twisted.web.http import Request
from twisted.web.resource import Resource
from twisted.web.server import Site

from figdoor_gateway.loop import reactor
from figdoor_gateway.operator._status import NodeStatus
from figdoor_kernel import Extension, Node

# Imported at the first request for a page. Importing Klein would take an
# eighth of a node's start time, and pages are not read while a fleet starts.
PAGES_MODULE = 'figdoor_gateway.operator._pages'
_UNAVAILABLE = 503


class OperatorServer:
    """Serves ``/healthz``, ``/readyz`` and the operator pages.

    All of it is read-only: operators can change only the tables.
    """

    def __init__(self, node: Node) -> None:
        """Look up the node's parts only when a page is requested."""
        self._node = node
        self._status = NodeStatus(node)
        self._port: Any = None

    def start(self) -> None:
        """Open the listener."""
        address = self._node.settings.operator_listen
        site = Site(_Root(self._node, self._status))
        site.noisy = False
        self._port = reactor.listenTCP(
            address.port,
            site,
            interface=address.host,
        )
        logger.info('serving operator pages on {}', address)

    def stop(self) -> None:
        """Close the listener."""
        if self._port is not None:
            self._port.stopListening()


class _Root(Resource):
    """Serves health and readiness itself and all other paths by Klein."""

    def __init__(self, node: Node, status: NodeStatus) -> None:
        super().__init__()
        self._node = node
        self._status = status
        self._pages: Any = None
        # The type checker does not know Twisted's zope interfaces.
        children: dict[bytes, Any] = {
            b'healthz': _Health(),
            b'readyz': _Ready(node),
        }
        for path, child in children.items():
            self.putChild(path, child)

    def getChild(self, path: bytes, request: Any) -> Resource:  # noqa: N802
        """Return the pages, which the first request imports."""
        if self._pages is None:
            module = import_module(PAGES_MODULE)
            pages = module.OperatorPages(self._node, self._status)
            self._pages = pages.app.resource()
        # The routes of the pages include the path segment that Twisted removed.
        request.postpath.insert(0, request.prepath.pop())
        resource: Resource = self._pages
        return resource


class _Health(Resource):
    """Reports that the process is running."""

    isLeaf = True  # noqa: N815

    def render_GET(self, request: Request) -> bytes:  # noqa: N802
        """Return 200."""
        return b'ok\n'


class _Ready(Resource):
    """Reports whether the node accepts callers, and the reasons if not."""

    isLeaf = True  # noqa: N815

    def __init__(self, node: Node) -> None:
        super().__init__()
        self._node = node

    def render_GET(self, request: Request) -> bytes:  # noqa: N802
        """Return 200, or 503 with one reason per line."""
        readiness = self._node.part(Extension.SERVICE, 'readiness')
        reasons = readiness.reasons(self._node.clock.now_ms())
        if reasons:
            request.setResponseCode(_UNAVAILABLE)
            return '\n'.join((*reasons, '')).encode()
        return b'ready\n'

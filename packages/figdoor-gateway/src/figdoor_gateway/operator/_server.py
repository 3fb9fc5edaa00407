"""The operators' HTTP server."""

from importlib import import_module
from typing import Any

from loguru import logger
from twisted.web.http import Request
from twisted.web.resource import Resource
from twisted.web.server import Site

from figdoor_gateway.loop import reactor
from figdoor_gateway.operator._in_force import InForce
from figdoor_kernel import Extension, Node

# Klein takes an eighth of the time that a node needs to start, and while a
# whole fleet starts nobody looks at the pages.
PAGES_MODULE = 'figdoor_gateway.operator._pages'
_UNAVAILABLE = 503


class OperatorServer:
    """Serves ``/healthz`` and ``/readyz`` at once, and pages on demand.

    Everything is read-only: operators change the tables and nothing else.
    """

    def __init__(self, node: Node) -> None:
        """Use the node's parts when asked."""
        self._node = node
        self._in_force = InForce(node)
        self._port: Any = None

    def start(self) -> None:
        """Open the listener."""
        address = self._node.settings.operator_listen
        site = Site(_Root(self._node, self._in_force))
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


class _Root(Resource):
    """Finds the resource of a path."""

    def __init__(self, node: Node, in_force: InForce) -> None:
        super().__init__()
        self._node = node
        self._in_force = in_force
        self._pages: Any = None
        # Twisted's interfaces are not known to the type checker.
        children: dict[bytes, Any] = {
            b'healthz': _Health(),
            b'readyz': _Ready(node),
        }
        for path, child in children.items():
            self.putChild(path, child)

    def getChild(self, path: bytes, request: Any) -> Resource:  # noqa: N802
        """Load the pages when one of them is asked for."""
        if self._pages is None:
            module = import_module(PAGES_MODULE)
            pages = module.OperatorPages(self._node, self._in_force)
            self._pages = pages.app.resource()
        # The pages' own routes begin with the part that was just taken off.
        request.postpath.insert(0, request.prepath.pop())
        resource: Resource = self._pages
        return resource


class _Health(Resource):
    """Tells that the process runs."""

    isLeaf = True  # noqa: N815

    def render_GET(self, request: Request) -> bytes:  # noqa: N802
        """Answer always."""
        return b'ok\n'


class _Ready(Resource):
    """Tells whether callers should be sent here, and why not."""

    isLeaf = True  # noqa: N815

    def __init__(self, node: Node) -> None:
        super().__init__()
        self._node = node

    def render_GET(self, request: Request) -> bytes:  # noqa: N802
        """Answer 503 with the reasons while there are any."""
        readiness = self._node.part(Extension.SERVICE, 'readiness')
        reasons = readiness.reasons(self._node.clock.now_ms())
        if reasons:
            request.setResponseCode(_UNAVAILABLE)
            return '\n'.join((*reasons, '')).encode()
        return b'ready\n'

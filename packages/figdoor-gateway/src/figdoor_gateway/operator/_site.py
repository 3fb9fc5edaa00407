"""The web site of a node: its health and all operator pages.

Imported at the first request that ``OperatorConnection`` passes on.
"""

from collections.abc import Callable
from typing import Any

from twisted.web.http import Request
from twisted.web.resource import Resource
from twisted.web.server import Site

from figdoor_gateway.operator._health import Answer, NodeHealth
from figdoor_gateway.operator._pages import OperatorPages
from figdoor_gateway.operator._status import NodeStatus
from figdoor_kernel import Node


def make_site(node: Node) -> Site:
    """Return the site; the caller passes connections to it."""
    site = Site(_Root(OperatorPages(node, NodeStatus(node)), NodeHealth(node)))
    site.noisy = False
    return site


class _Root(Resource):
    """Serves health and readiness itself and all other paths by Klein."""

    def __init__(self, pages: OperatorPages, health: NodeHealth) -> None:
        super().__init__()
        self._pages: Resource = pages.app.resource()
        # The type checker does not know Twisted's zope interfaces.
        children: dict[bytes, Any] = {
            b'healthz': _Question(health.health),
            b'readyz': _Question(health.readiness),
        }
        for path, child in children.items():
            self.putChild(path, child)

    def getChild(self, path: bytes, request: Any) -> Resource:  # noqa: N802
        """Return the pages."""
        # The routes of the pages include the path segment that Twisted removed.
        request.postpath.insert(0, request.prepath.pop())
        return self._pages


class _Question(Resource):
    """Returns the current answer to one question."""

    isLeaf = True  # noqa: N815

    def __init__(self, answer: Callable[[], Answer]) -> None:
        super().__init__()
        self._answer = answer

    def render_GET(self, request: Request) -> bytes:  # noqa: N802
        """Return the status and the body."""
        status, body = self._answer()
        request.setResponseCode(status)
        return body

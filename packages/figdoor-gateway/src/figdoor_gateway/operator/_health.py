"""Health and readiness of a node, as an HTTP status and a body."""

from typing import NamedTuple

from figdoor_kernel import Extension, Node

_OK = 200
_UNAVAILABLE = 503


class Answer(NamedTuple):
    """A response to a question about the node's health."""

    status: int
    body: bytes


class NodeHealth:
    """Answers the two questions that the platform asks repeatedly."""

    def __init__(self, node: Node) -> None:
        """Look up the node's parts only when a question is asked."""
        self._node = node

    def health(self) -> Answer:
        """Report that the process is running."""
        return Answer(_OK, b'ok\n')

    def readiness(self) -> Answer:
        """Report whether the node accepts callers.

        If not, the body has one reason per line.
        """
        readiness = self._node.part(Extension.SERVICE, 'readiness')
        reasons = readiness.reasons(self._node.clock.now_ms())
        if reasons:
            return Answer(_UNAVAILABLE, '\n'.join((*reasons, '')).encode())
        return Answer(_OK, b'ready\n')

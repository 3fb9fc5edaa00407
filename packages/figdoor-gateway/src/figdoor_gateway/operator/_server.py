"""The HTTP server for operators."""

from functools import cached_property
from importlib import import_module
from typing import Any

from loguru import logger
from twisted.internet.protocol import Protocol, ServerFactory

from figdoor_gateway.loop import reactor
from figdoor_gateway.operator._connection import OperatorConnection
from figdoor_gateway.operator._health import NodeHealth
from figdoor_kernel import Node

# Imported at the first request for a page. Importing Twisted's web server and
# Klein would take a third of a node's start time and 8 MB of its memory, and
# pages are rarely read.
SITE_MODULE = 'figdoor_gateway.operator._site'


class OperatorServer(ServerFactory):
    """Serves ``/healthz``, ``/readyz`` and the operator pages.

    All of it is read-only: operators can change only the tables.
    """

    noisy = False

    def __init__(self, node: Node) -> None:
        """Create the web site only when a page is requested."""
        self._node = node
        self._health = NodeHealth(node)
        self._port: Any = None

    def start(self) -> None:
        """Open the listener."""
        address = self._node.settings.operator_listen
        self._port = reactor.listenTCP(
            address.port,
            self,
            interface=address.host,
        )
        logger.info('serving operator pages on {}', address)

    def stop(self) -> None:
        """Close the listener."""
        if self._port is not None:
            self._port.stopListening()

    def buildProtocol(self, addr: Any) -> Protocol:  # noqa: N802
        """Return the protocol of a new connection."""
        return OperatorConnection(self._health, self._pass_on)

    @cached_property
    def _site(self) -> Any:
        return import_module(SITE_MODULE).make_site(self._node)

    def _pass_on(self, connection: OperatorConnection) -> Protocol:
        transport: Any = connection.transport
        protocol: Protocol = self._site.buildProtocol(transport.getPeer())
        return protocol

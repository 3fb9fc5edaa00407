"""Health, metrics and pages for operators, on a port of their own."""

from figdoor_gateway.operator._server import OperatorServer
from figdoor_kernel import Extension, Registry

__all__ = ('OperatorServer', 'register')


def register(registry: Registry) -> None:
    """Provide the operator server."""
    registry.provide(Extension.OPERATOR_PAGE, 'http', OperatorServer)

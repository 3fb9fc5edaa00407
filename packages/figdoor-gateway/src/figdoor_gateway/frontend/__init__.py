"""Front end that receives callers' requests over HTTP/1.1."""

from figdoor_gateway.frontend._server import HttpFrontEnd
from figdoor_kernel import Extension, Registry

__all__ = ('HttpFrontEnd', 'register')


def register(registry: Registry) -> None:
    """Register the HTTP/1.1 front end."""
    registry.provide(Extension.FRONT_END, 'http', HttpFrontEnd)

"""Records the inputs and decisions of a node for ``figdoor-ctl replay``."""

from figdoor_gateway.tracing._trace_file import TraceFile, TraceFileError
from figdoor_kernel import Extension, Registry

__all__ = ('TraceFile', 'TraceFileError', 'register')


def register(registry: Registry) -> None:
    """Provide the recording as a service."""
    registry.provide(Extension.SERVICE, 'trace', TraceFile)

"""Reads the platform's configuration service and VM list over HTTP."""

from figdoor_gateway.platform._client import (
    Headers,
    PlatformClient,
    PlatformError,
    ResponseLimits,
    ResponseTooLongError,
)
from figdoor_gateway.platform._config_source import HttpConfigSource
from figdoor_gateway.platform._json_client import JsonClient, JsonResponse
from figdoor_gateway.platform._vm_list_source import (
    HttpVmListSource,
    read_vm_list,
)
from figdoor_kernel import Extension, Registry

__all__ = (
    'Headers',
    'HttpConfigSource',
    'HttpVmListSource',
    'JsonClient',
    'JsonResponse',
    'PlatformClient',
    'PlatformError',
    'ResponseLimits',
    'ResponseTooLongError',
    'read_vm_list',
    'register',
)


def register(registry: Registry) -> None:
    """Provide both sources."""
    registry.provide(Extension.CONFIG_SOURCE, 'http', HttpConfigSource)
    registry.provide(Extension.VM_LIST_SOURCE, 'http', HttpVmListSource)

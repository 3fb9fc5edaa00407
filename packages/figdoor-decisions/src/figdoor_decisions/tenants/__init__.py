"""Finds the tenant that holds the key of a call."""

from figdoor_decisions.tenants._resolver import KeyResolver
from figdoor_kernel import Extension, Registry

__all__ = ('KeyResolver', 'register')


def register(registry: Registry) -> None:
    """Provide the resolver."""
    registry.provide(Extension.TENANT_RESOLVER, 'key', KeyResolver)

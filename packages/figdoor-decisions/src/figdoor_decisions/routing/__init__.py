"""Finds the route of a call in the tables in force."""

from figdoor_decisions.routing._router import LongestPrefixRouter
from figdoor_kernel import Extension, Registry

__all__ = ('LongestPrefixRouter', 'register')


def register(registry: Registry) -> None:
    """Provide the router."""
    registry.provide(Extension.ROUTER, 'longest-prefix', LongestPrefixRouter)

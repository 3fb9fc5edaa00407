"""Quarantine for poison requests, which crash the upstreams that run them."""

from figdoor_decisions.suspects._rule import QuarantineRule
from figdoor_decisions.suspects._suspects import SuspectedRequests
from figdoor_kernel import Extension, Registry

__all__ = ('QuarantineRule', 'SuspectedRequests', 'register')


def register(registry: Registry) -> None:
    """Provide the record of crashes and the quarantine rule."""
    registry.provide(Extension.SERVICE, 'suspects', SuspectedRequests)
    registry.provide(Extension.ADMISSION_RULE, 'quarantine', QuarantineRule)

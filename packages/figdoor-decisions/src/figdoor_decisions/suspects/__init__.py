"""Quarantine for poison requests, which crash the upstreams that run them."""

from figdoor_decisions.suspects._rule import QuarantineRule
from figdoor_decisions.suspects._suspects import SuspectedRequests
from figdoor_kernel import Extension, Node, Registry

__all__ = ('QuarantineRule', 'SuspectedRequests', 'register')


def register(registry: Registry) -> None:
    """Provide the record of crashes and the quarantine rule."""
    registry.provide(Extension.SERVICE, 'suspects', SuspectedRequests)
    registry.provide(Extension.ADMISSION_RULE, 'quarantine', QuarantineRule)
    registry.provide(Extension.TRANSFERABLE_STATE, 'suspects', _suspects)


def _suspects(node: Node) -> SuspectedRequests:
    suspects: SuspectedRequests = node.part(Extension.SERVICE, 'suspects')
    return suspects

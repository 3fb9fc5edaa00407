"""Requests that kill the upstreams that run them."""

from figdoor_decisions.suspects._rule import QuarantineRule
from figdoor_decisions.suspects._suspects import Suspects
from figdoor_kernel import Extension, Registry

__all__ = ('QuarantineRule', 'Suspects', 'register')


def register(registry: Registry) -> None:
    """Provide the record of deaths and the rule that refuses suspects."""
    registry.provide(Extension.SERVICE, 'suspects', Suspects)
    registry.provide(Extension.ADMISSION_RULE, 'quarantine', QuarantineRule)

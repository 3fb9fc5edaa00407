"""Acceptance of routing tables, and the lease under which they are used."""

from figdoor_decisions.configuration._acceptance import Acceptance, StartRule
from figdoor_decisions.configuration._lease import ConfigLease, LeaseRule
from figdoor_kernel import Extension, Registry

__all__ = ('Acceptance', 'ConfigLease', 'LeaseRule', 'StartRule', 'register')


def register(registry: Registry) -> None:
    """Provide acceptance, the config lease and the rule that checks it."""
    registry.provide(Extension.SERVICE, 'acceptance', Acceptance)
    registry.provide(Extension.SERVICE, 'config-lease', ConfigLease)
    registry.provide(Extension.ADMISSION_RULE, 'config-lease', LeaseRule)
    registry.provide(Extension.READINESS_RULE, 'config-lease', LeaseRule)

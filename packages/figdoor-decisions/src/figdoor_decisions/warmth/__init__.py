"""Cold starts: who is warm, who owns the cold allowance, who may send."""

from figdoor_decisions.warmth._allowance import ColdAllowance
from figdoor_decisions.warmth._evidence import WarmthEvidence
from figdoor_decisions.warmth._granting import PermitGranter
from figdoor_decisions.warmth._permits import Permits
from figdoor_decisions.warmth._rule import WarmthRule
from figdoor_decisions.warmth._vouching import Vouching
from figdoor_kernel import Extension, Registry

__all__ = (
    'ColdAllowance',
    'PermitGranter',
    'Permits',
    'Vouching',
    'WarmthEvidence',
    'WarmthRule',
    'register',
)


def register(registry: Registry) -> None:
    """Provide evidence, the cold allowance, permits and the rule."""
    registry.provide(Extension.SERVICE, 'warmth', WarmthEvidence)
    registry.provide(Extension.SERVICE, 'cold-allowance', ColdAllowance)
    registry.provide(Extension.SERVICE, 'permit-granter', PermitGranter)
    registry.provide(Extension.SERVICE, 'vouching', Vouching)
    registry.provide(Extension.PERMIT_SOURCE, 'cold-allowance', Permits)
    registry.provide(Extension.CANDIDATE_RULE, 'warmth', WarmthRule)
